package io.zinniawood.wire.internal;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the rate of probes on idle connections, which are part of the control traffic of a node.
 * The probe interval grows with the number of connections, so that a process sends at most ten such
 * probes per second.
 */
final class ProbeBudget {
  private static final long INTERVAL_MILLIS_PER_CONNECTION = 100;

  /**
   * The initiator of a connection probes it on behalf of both sides. The acceptor probes less
   * often, only to release connections whose initiator no longer exists.
   */
  private static final long ACCEPTOR_INTERVAL_FACTOR = 4;

  private final AtomicInteger connections = new AtomicInteger();
  private final long minIntervalMillis;

  ProbeBudget(long minIntervalMillis) {
    this.minIntervalMillis = minIntervalMillis;
  }

  void connectionOpened() {
    connections.incrementAndGet();
  }

  void connectionClosed() {
    connections.decrementAndGet();
  }

  /** Returns the probe interval of an idle connection in milliseconds. */
  long idleProbeIntervalMillis(ConnectionSide side) {
    long sideMinIntervalMillis =
        side == ConnectionSide.INITIATOR
            ? minIntervalMillis
            : minIntervalMillis * ACCEPTOR_INTERVAL_FACTOR;
    return Math.max(sideMinIntervalMillis, connections.get() * INTERVAL_MILLIS_PER_CONNECTION);
  }
}
