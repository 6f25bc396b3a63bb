package io.zinniawood.core.entry.lease;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;

/**
 * What an entry knows of the controller lease. All times are of its own monotonic clock.
 *
 * @param seen row that was read last
 * @param version version of that row, 0 if it did not exist
 * @param unchangedSinceNanos time at which this version was first read, in nanoseconds
 * @param mine row that this entry wrote and that still stands as far as it knows
 * @param validUntilNanos time until which no other entry can have taken the lease, in nanoseconds
 * @param ordersFromNanos time from which the holder may give orders, in nanoseconds
 * @param pending write whose result is not known
 */
public record LeaseView(
    Option<LeaseRow> seen,
    long version,
    long unchangedSinceNanos,
    Option<LeaseRow> mine,
    long validUntilNanos,
    long ordersFromNanos,
    Option<PendingWrite> pending) {
  /** Version before the first read. */
  private static final long NEVER_READ = -1;

  /** Returns the view before the first read. */
  public static LeaseView unknown() {
    return new LeaseView(Option.none(), NEVER_READ, 0, Option.none(), 0, 0, Option.none());
  }

  /** Tells whether this entry surely holds the lease and may give orders at the given time. */
  public boolean mayOrder(long nowNanos) {
    return mine.isDefined() && nowNanos - validUntilNanos < 0 && nowNanos - ordersFromNanos >= 0;
  }

  /** Returns this view with a write on its way. */
  public LeaseView writing(LeaseRow row, long nowNanos) {
    return new LeaseView(
        seen,
        version,
        unchangedSinceNanos,
        mine,
        validUntilNanos,
        ordersFromNanos,
        Option.some(new PendingWrite(row, nowNanos)));
  }

  /** Returns this view without the lease. */
  public LeaseView lost() {
    return new LeaseView(seen, version, unchangedSinceNanos, Option.none(), 0, 0, Option.none());
  }

  /**
   * Returns this view after the row was read. Only a row that confirms a pending write extends the
   * validity, measured from when the write was sent. An answer to an earlier read may arrive after
   * that and is ignored while the lease is valid.
   *
   * @param row row as it stands
   * @param readVersion its version
   * @param leaseNanos lease time in nanoseconds
   * @param nowNanos present time in nanoseconds
   */
  public LeaseView read(Option<LeaseRow> row, long readVersion, long leaseNanos, long nowNanos) {
    long since = readVersion == version ? unchangedSinceNanos : nowNanos;
    Option<PendingWrite> written = pending.filter(write -> row.contains(write.row()));
    if (written.isDefined()) {
      boolean taken = mine.forAll(held -> !held.fencingNumber().equals(row.get().fencingNumber()));
      return new LeaseView(
          row,
          readVersion,
          since,
          row,
          written.get().sentNanos() + leaseNanos,
          taken ? nowNanos + leaseNanos : ordersFromNanos,
          Option.none());
    }
    if (mine.isDefined() && row.exists(this::isMine)) {
      return new LeaseView(
          row, readVersion, since, row, validUntilNanos, ordersFromNanos, Option.none());
    }
    if (mine.isDefined() && readVersion < version && nowNanos - validUntilNanos < 0) {
      return this;
    }
    return new LeaseView(row, readVersion, since, Option.none(), 0, 0, Option.none());
  }

  private boolean isMine(LeaseRow row) {
    return mine.exists(
        held ->
            held.holder().equals(row.holder()) && held.fencingNumber().equals(row.fencingNumber()));
  }

  /** Tells whether the row has not changed for the lease time. */
  public boolean expired(long leaseNanos, long nowNanos) {
    return version != NEVER_READ
        && (seen.isEmpty() || nowNanos - unchangedSinceNanos >= leaseNanos);
  }

  /**
   * Write whose result is not known.
   *
   * @param row row that was written
   * @param sentNanos time at which it was sent, in nanoseconds
   */
  public record PendingWrite(LeaseRow row, long sentNanos) {}
}
