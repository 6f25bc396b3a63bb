package io.zinniawood.agent.internal;

import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.ClaimRow;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Claim rows that this agent wrote recently, which a store that comes back from a copy may have
 * lost. Thread-safe.
 */
final class RecentClaims {
  /** Age of the oldest row that a restored store is expected to lose. */
  static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(20);

  /** Time within which an agent with recent rows notices a new era. */
  static final long CHECK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Time in a new era before a key without a row counts as free: two checks of the agents that may
   * have claimed it, and a write.
   */
  static final long HOLD_NANOS = 2 * CHECK_INTERVAL_NANOS + TimeUnit.SECONDS.toNanos(1);

  private final LongSupplier clockNanos;
  private final Map<String, Recent> rows = new LinkedHashMap<>();
  private boolean restored;
  private long restoredNanos;

  private record Recent(ClaimRow row, long atNanos) {}

  /**
   * Creates an empty instance.
   *
   * @param clockNanos monotonic clock in nanoseconds
   */
  RecentClaims(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /** Records a row that the table acknowledged, or the final row of an acknowledged claim. */
  synchronized void add(String key, ClaimRow row) {
    removeExpired();
    rows.remove(key);
    rows.put(key, new Recent(row, clockNanos.getAsLong()));
  }

  /** Replaces the row of a claim by its final row; does nothing if the claim is not known. */
  synchronized void addFinal(String key, ClaimRow row) {
    if (holds(key, row.attempt())) {
      add(key, row);
    }
  }

  /** Tells whether the table acknowledged the claim of an attempt. */
  synchronized boolean holds(String key, AttemptId attempt) {
    return Option.of(rows.get(key)).exists(recent -> recent.row().attempt().equals(attempt));
  }

  /** Returns the rows by key, oldest first. */
  synchronized Map<String, ClaimRow> rows() {
    removeExpired();
    Map<String, ClaimRow> copy = new LinkedHashMap<>();
    rows.forEach((key, recent) -> copy.put(key, recent.row()));
    return copy;
  }

  /** Records that the store is in a newer era as of now. */
  synchronized void restored() {
    restored = true;
    restoredNanos = clockNanos.getAsLong();
  }

  /** Tells whether a key without a row may have been claimed in an era that was lost. */
  synchronized boolean holding() {
    return restored && clockNanos.getAsLong() - restoredNanos < HOLD_NANOS;
  }

  private void removeExpired() {
    long nowNanos = clockNanos.getAsLong();
    rows.values().removeIf(recent -> nowNanos - recent.atNanos() > KEPT_NANOS);
  }
}
