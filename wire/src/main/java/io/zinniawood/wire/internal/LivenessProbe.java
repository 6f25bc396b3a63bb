package io.zinniawood.wire.internal;

import io.zinniawood.wire.WireTiming;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Decides when to probe one connection and when it is silent. A connection is silent if a probe is
 * not acknowledged in time, although the TCP connection is open. Not thread-safe.
 */
final class LivenessProbe {
  private final WireTiming timing;
  private final ProbeBudget budget;
  private final ConnectionSide side;
  private final LongConsumer sendProbe;
  private final Runnable onSilent;
  private long lastReadNanos;
  private long lastMessageNanos;
  private long probeSentNanos;
  private long nextCheckNanos;
  private long sequence;
  private boolean probeOutstanding;

  /**
   * Creates the probe of a connection whose handshake is complete.
   *
   * @param side side of the connection that this process is on
   * @param nowNanos monotonic time in nanoseconds
   * @param sendProbe sends a probe with a sequence number
   * @param onSilent called when the connection is silent
   */
  LivenessProbe(
      WireTiming timing,
      ProbeBudget budget,
      ConnectionSide side,
      long nowNanos,
      LongConsumer sendProbe,
      Runnable onSilent) {
    this.timing = timing;
    this.budget = budget;
    this.side = side;
    this.sendProbe = sendProbe;
    this.onSilent = onSilent;
    this.lastReadNanos = nowNanos;
    this.lastMessageNanos = nowNanos;
    this.nextCheckNanos = nowNanos + toNanos(timing.activeProbeIntervalMillis());
  }

  /** Notes that bytes arrived. */
  void onRead(long nowNanos) {
    lastReadNanos = nowNanos;
    probeOutstanding = false;
  }

  /**
   * Notes that a message other than a probe was sent or received.
   *
   * @return whether the next check must be scheduled again, since it is now due earlier
   */
  boolean onMessage(long nowNanos) {
    boolean wasIdle = !isActive(nowNanos);
    lastMessageNanos = nowNanos;
    if (wasIdle) {
      nextCheckNanos = nowNanos + toNanos(timing.activeProbeIntervalMillis());
    }
    return wasIdle;
  }

  /** Returns the time of the next check in nanoseconds. */
  long nextCheckNanos() {
    return nextCheckNanos;
  }

  /** Sends a probe or reports silence if it is time to; sets the time of the next check. */
  void check(long nowNanos) {
    if (nowNanos - nextCheckNanos > toNanos(timing.activeProbeIntervalMillis())) {
      // The check itself is late: this process was paused, and acknowledgements may be unread.
      probeOutstanding = false;
      sendProbe(nowNanos);
      return;
    }
    if (probeOutstanding) {
      if (nowNanos - probeSentNanos >= toNanos(timing.ackTimeoutMillis())) {
        onSilent.run();
        return;
      }
      nextCheckNanos = probeSentNanos + toNanos(timing.ackTimeoutMillis());
      return;
    }
    long intervalNanos =
        toNanos(
            isActive(nowNanos)
                ? timing.activeProbeIntervalMillis()
                : budget.idleProbeIntervalMillis(side));
    if (nowNanos - lastReadNanos >= intervalNanos) {
      sendProbe(nowNanos);
    } else {
      nextCheckNanos = lastReadNanos + intervalNanos;
    }
  }

  private void sendProbe(long nowNanos) {
    probeOutstanding = true;
    probeSentNanos = nowNanos;
    nextCheckNanos = nowNanos + toNanos(timing.ackTimeoutMillis());
    sequence++;
    sendProbe.accept(sequence);
  }

  private boolean isActive(long nowNanos) {
    return nowNanos - lastMessageNanos < toNanos(timing.activeWindowMillis());
  }

  private static long toNanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
