package io.zinniawood.wire.internal;

import io.zinniawood.wire.WireTiming;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Schedules the liveness probes of a connection and detects when it is silent. A connection is
 * silent if its peer does not acknowledge a probe in time although TCP reports no error. Not
 * thread-safe.
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
   * Creates the liveness probe of a connection whose handshake is complete.
   *
   * @param side role of this process in the connection
   * @param nowNanos current time in nanoseconds of a monotonic clock
   * @param sendProbe sends a probe with a sequence number
   * @param onSilent called when a probe was not acknowledged in time
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

  /** Records that data was received. */
  void onRead(long nowNanos) {
    lastReadNanos = nowNanos;
    probeOutstanding = false;
  }

  /**
   * Records that a message other than a probe was sent or received.
   *
   * @return whether the next check must be rescheduled because it is now due earlier
   */
  boolean onMessage(long nowNanos) {
    boolean wasIdle = !isActive(nowNanos);
    lastMessageNanos = nowNanos;
    if (wasIdle) {
      nextCheckNanos = nowNanos + toNanos(timing.activeProbeIntervalMillis());
    }
    return wasIdle;
  }

  /** Returns the time of the next check in nanoseconds of the monotonic clock. */
  long nextCheckNanos() {
    return nextCheckNanos;
  }

  /** Sends a probe or reports silence if due, and sets the time of the next check. */
  void check(long nowNanos) {
    if (nowNanos - nextCheckNanos > toNanos(timing.activeProbeIntervalMillis())) {
      // This process was paused, so an acknowledgement may have arrived that is not read yet.
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
