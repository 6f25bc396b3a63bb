package io.zinniawood.wire.internal;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keeps the probes of unused connections within the control budget of a node. The interval grows
 * with the number of connections, so that a process sends at most ten such probes each second.
 */
final class ProbeBudget {
  private static final long INTERVAL_MILLIS_PER_CONNECTION = 100;

  /**
   * The side that opened a connection probes it for both. The accepting side probes rarely, only to
   * release connections whose other side has vanished.
   */
  private static final long ACCEPTOR_INTERVAL_FACTOR = 4;

  private final AtomicInteger connections = new AtomicInteger();
  private final long minIntervalMillis;

  ProbeBudget(long shortestMillis) {
    this.minIntervalMillis = shortestMillis;
  }

  void connectionOpened() {
    connections.incrementAndGet();
  }

  void connectionClosed() {
    connections.decrementAndGet();
  }

  /** Returns the interval of probes on an unused connection of the given side. */
  long idleProbeIntervalMillis(ConnectionSide side) {
    long shortest =
        side == ConnectionSide.INITIATOR
            ? minIntervalMillis
            : minIntervalMillis * ACCEPTOR_INTERVAL_FACTOR;
    return Math.max(shortest, connections.get() * INTERVAL_MILLIS_PER_CONNECTION);
  }
}
