package io.zinniawood.entry.internal.relay;

import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.entry.internal.Completions;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireListener;
import io.zinniawood.wire.WireTransport;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Connections to other entries, opened by either side. Thread-safe. */
final class EntryPeers {
  /** Handles events of connections to entries; called on I/O threads. */
  interface Handler {
    /** Called when a connection to another entry is open. */
    void onOpened(WireConnection connection);

    /** Called for each message from another entry. */
    void onMessage(WireConnection connection, Message message, Generation peerGeneration);
  }

  private final WireTransport transport;
  private final Handler handler;
  private final Set<WireConnection> openConnections = ConcurrentHashMap.newKeySet();
  private final Map<VmId, OutboundConnection> outbound = new HashMap<>();

  EntryPeers(WireTransport transport, Handler handler) {
    this.transport = transport;
    this.handler = handler;
  }

  /** Listener of accepted connections; also the base class of outbound connections. */
  private class PeerListener implements WireListener {
    @Override
    public void onOpened(WireConnection connection) {
      if (connection.peer().role() != VmRole.ENTRY) {
        // Agents do not open connections to entries; entries connect to them.
        connection.close();
        return;
      }
      openConnections.add(connection);
      handler.onOpened(connection);
    }

    @Override
    public void onMessage(WireConnection connection, Message message, Generation peerGeneration) {
      handler.onMessage(connection, message, peerGeneration);
    }

    @Override
    public void onClosed(WireConnection connection, CloseReason reason) {
      openConnections.remove(connection);
    }
  }

  private final class OutboundConnection extends PeerListener {
    private final NodeAddress address;
    private volatile boolean closeRequested;
    private volatile boolean ended;
    private volatile WireConnection connection;

    OutboundConnection(NodeAddress address) {
      this.address = address;
    }

    @Override
    public void onOpened(WireConnection opened) {
      connection = opened;
      if (closeRequested) {
        opened.close();
      } else {
        super.onOpened(opened);
      }
    }

    @Override
    public void onClosed(WireConnection closed, CloseReason reason) {
      ended = true;
      super.onClosed(closed, reason);
    }

    void close() {
      closeRequested = true;
      WireConnection opened = connection;
      if (opened != null) {
        opened.close();
      }
    }
  }

  /** Returns the listener for connections that other entries open. */
  WireListener listener() {
    return new PeerListener();
  }

  /** Connects to the given entries and closes outbound connections to all other entries. */
  synchronized void updateOutbound(Iterable<VmEntry> entries) {
    Map<VmId, NodeAddress> targets = new HashMap<>();
    entries.forEach(vm -> targets.put(vm.vm(), vm.address()));
    outbound
        .entrySet()
        .removeIf(
            entry -> {
              OutboundConnection connection = entry.getValue();
              boolean keep =
                  !connection.ended && connection.address.equals(targets.get(entry.getKey()));
              if (!keep) {
                connection.close();
              }
              return !keep;
            });
    targets.forEach((vm, address) -> outbound.computeIfAbsent(vm, absent -> connect(address)));
  }

  private OutboundConnection connect(NodeAddress address) {
    OutboundConnection connection = new OutboundConnection(address);
    Completions.handle(
        transport.connect(address, connection),
        failure -> new WireError("connecting threw an exception: " + failure),
        result -> {
          if (result.isLeft()) {
            connection.ended = true;
          }
        });
    return connection;
  }

  /** Sends a message to all connected entries. */
  void broadcast(Message message) {
    openConnections.forEach(connection -> connection.send(message));
  }

  /** Sends a message to one entry; returns false if it is not connected. */
  boolean send(VmId vm, Message message) {
    for (WireConnection connection : openConnections) {
      if (connection.peer().nodeId().equals(vm.value())) {
        connection.send(message);
        return true;
      }
    }
    return false;
  }
}
