package io.zinniawood.wire.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Memory that the connections of a transport hold with incomplete frames and unsent messages. If it
 * is short, the connection that holds the most is closed. Thread-safe.
 */
final class PeerMemory {
  private final long limitBytes;
  private final Map<Channel, Held> heldByConnection = new HashMap<>();
  private long totalBytes;

  private record Held(long receivedBytes, long unsentBytes) {
    static final Held NONE = new Held(0, 0);

    long bytes() {
      return receivedBytes + unsentBytes;
    }
  }

  /** Creates an empty account with a limit in bytes for all connections together. */
  PeerMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Sets the size of the buffer that collects a connection's next frame. */
  void setReceived(Channel connection, long bytes) {
    change(connection, held -> new Held(bytes, held.unsentBytes()));
  }

  /** Sets the size of a connection's messages that are not sent. */
  void setUnsent(Channel connection, long bytes) {
    change(connection, held -> new Held(held.receivedBytes(), bytes));
  }

  private void change(Channel connection, UnaryOperator<Held> change) {
    for (Channel largest : removeExcess(connection, change)) {
      ChannelFuture unused = largest.close();
    }
  }

  private synchronized List<Channel> removeExcess(Channel connection, UnaryOperator<Held> change) {
    Held before = heldByConnection.getOrDefault(connection, Held.NONE);
    Held after = connection.isOpen() ? change.apply(before) : Held.NONE;
    totalBytes += after.bytes() - before.bytes();
    if (after.bytes() == 0) {
      heldByConnection.remove(connection);
    } else {
      heldByConnection.put(connection, after);
    }
    List<Channel> excess = new ArrayList<>();
    while (totalBytes > limitBytes) {
      Channel largest =
          heldByConnection.entrySet().stream()
              .max(Comparator.comparingLong(entry -> entry.getValue().bytes()))
              .orElseThrow()
              .getKey();
      totalBytes -= heldByConnection.remove(largest).bytes();
      excess.add(largest);
    }
    return excess;
  }
}
