package io.zinniawood.wire.internal;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keeps the probes of unused connections within the control budget of a node. The interval grows
 * with the number of connections, so that a process sends at most ten such probes each second.
 */
final class ProbeBudget {
  private static final long MILLIS_PER_CONNECTION = 100;

  private final AtomicInteger connections = new AtomicInteger();
  private final long shortestMillis;

  ProbeBudget(long shortestMillis) {
    this.shortestMillis = shortestMillis;
  }

  void opened() {
    connections.incrementAndGet();
  }

  void closed() {
    connections.decrementAndGet();
  }

  long idleProbeMillis() {
    return Math.max(shortestMillis, connections.get() * MILLIS_PER_CONNECTION);
  }
}
