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

/** Connections to other entries, opened by either side. Safe for use by several threads. */
final class EntryPeers {
  /** Handles the events of entry connections; called on I/O threads. */
  interface Handler {
    /** A connection to another entry is open. */
    void onOpened(WireConnection connection);

    /** Another entry sent a message. */
    void onMessage(WireConnection connection, Message message, Generation peerGeneration);
  }

  private final WireTransport wire;
  private final Handler handler;
  private final Set<WireConnection> open = ConcurrentHashMap.newKeySet();
  private final Map<VmId, Dialled> dialled = new HashMap<>();

  EntryPeers(WireTransport wire, Handler handler) {
    this.wire = wire;
    this.handler = handler;
  }

  /** Listener of one connection or of the port. */
  private class Accepted implements WireListener {
    @Override
    public void onOpened(WireConnection connection) {
      if (connection.peer().role() != VmRole.ENTRY) {
        // Entries connect to agents, never the other way round.
        connection.close();
        return;
      }
      open.add(connection);
      handler.onOpened(connection);
    }

    @Override
    public void onMessage(WireConnection connection, Message message, Generation peerGeneration) {
      handler.onMessage(connection, message, peerGeneration);
    }

    @Override
    public void onClosed(WireConnection connection, CloseReason reason) {
      open.remove(connection);
    }
  }

  private final class Dialled extends Accepted {
    private final NodeAddress address;
    private volatile boolean unwanted;
    private volatile boolean ended;
    private volatile WireConnection connection;

    Dialled(NodeAddress address) {
      this.address = address;
    }

    @Override
    public void onOpened(WireConnection opened) {
      connection = opened;
      if (unwanted) {
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
      unwanted = true;
      WireConnection opened = connection;
      if (opened != null) {
        opened.close();
      }
    }
  }

  /** Returns the listener of the port. */
  WireListener listener() {
    return new Accepted();
  }

  /** Opens connections to the wanted entries and closes those to others that this side opened. */
  synchronized void dial(Iterable<VmEntry> wanted) {
    Map<VmId, NodeAddress> targets = new HashMap<>();
    wanted.forEach(vm -> targets.put(vm.vm(), vm.address()));
    dialled
        .entrySet()
        .removeIf(
            entry -> {
              Dialled connection = entry.getValue();
              boolean keep =
                  !connection.ended && connection.address.equals(targets.get(entry.getKey()));
              if (!keep) {
                connection.close();
              }
              return !keep;
            });
    targets.forEach((vm, address) -> dialled.computeIfAbsent(vm, absent -> connect(address)));
  }

  private Dialled connect(NodeAddress address) {
    Dialled connection = new Dialled(address);
    Completions.handle(
        wire.connect(address, connection),
        failure -> new WireError("the wire failed: " + failure),
        result -> {
          if (result.isLeft()) {
            connection.ended = true;
          }
        });
    return connection;
  }

  /** Sends a message to all connected entries. */
  void broadcast(Message message) {
    open.forEach(connection -> connection.send(message));
  }

  /** Sends a message to one entry; returns whether it is connected. */
  boolean send(VmId vm, Message message) {
    for (WireConnection connection : open) {
      if (connection.peer().nodeId().equals(vm.value())) {
        connection.send(message);
        return true;
      }
    }
    return false;
  }
}
