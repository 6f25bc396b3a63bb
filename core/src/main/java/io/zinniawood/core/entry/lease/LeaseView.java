package io.zinniawood.core.entry.lease;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;

/**
 * What an entry knows of the controller lease. All times are of its own monotonic clock.
 *
 * @param lastReadRow row that was read last
 * @param version version of that row, 0 if it did not exist
 * @param unchangedSinceNanos time at which this version was first read, in nanoseconds
 * @param heldRow row that this entry wrote and that still stands as far as it knows
 * @param validUntilNanos time until which no other entry can have taken the lease, in nanoseconds
 * @param ordersAllowedFromNanos time from which the holder may give orders, in nanoseconds
 * @param pendingWrite write whose result is not known
 */
public record LeaseView(
    Option<LeaseRow> lastReadRow,
    long version,
    long unchangedSinceNanos,
    Option<LeaseRow> heldRow,
    long validUntilNanos,
    long ordersAllowedFromNanos,
    Option<PendingWrite> pendingWrite) {
  /** Version before the first read. */
  private static final long VERSION_NEVER_READ = -1;

  /** Returns the view before the first read. */
  public static LeaseView unknown() {
    return new LeaseView(Option.none(), VERSION_NEVER_READ, 0, Option.none(), 0, 0, Option.none());
  }

  /** Tells whether this entry surely holds the lease and may give orders at the given time. */
  public boolean mayGiveOrders(long nowNanos) {
    return heldRow.isDefined()
        && nowNanos - validUntilNanos < 0
        && nowNanos - ordersAllowedFromNanos >= 0;
  }

  /** Returns this view with a write on its way. */
  public LeaseView withPendingWrite(LeaseRow row, long nowNanos) {
    return new LeaseView(
        lastReadRow,
        version,
        unchangedSinceNanos,
        heldRow,
        validUntilNanos,
        ordersAllowedFromNanos,
        Option.some(new PendingWrite(row, nowNanos)));
  }

  /** Returns this view without the lease. */
  public LeaseView withoutLease() {
    return new LeaseView(
        lastReadRow, version, unchangedSinceNanos, Option.none(), 0, 0, Option.none());
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
  public LeaseView afterRead(
      Option<LeaseRow> row, long readVersion, long leaseNanos, long nowNanos) {
    long since = readVersion == version ? unchangedSinceNanos : nowNanos;
    Option<PendingWrite> written = pendingWrite.filter(write -> row.contains(write.row()));
    if (written.isDefined()) {
      boolean taken =
          heldRow.forAll(held -> !held.fencingNumber().equals(row.get().fencingNumber()));
      return new LeaseView(
          row,
          readVersion,
          since,
          row,
          written.get().sentNanos() + leaseNanos,
          taken ? nowNanos + leaseNanos : ordersAllowedFromNanos,
          Option.none());
    }
    if (heldRow.isDefined() && row.exists(this::isHeldRow)) {
      return new LeaseView(
          row, readVersion, since, row, validUntilNanos, ordersAllowedFromNanos, Option.none());
    }
    if (heldRow.isDefined() && readVersion < version && nowNanos - validUntilNanos < 0) {
      return this;
    }
    return new LeaseView(row, readVersion, since, Option.none(), 0, 0, Option.none());
  }

  private boolean isHeldRow(LeaseRow row) {
    return heldRow.exists(
        held ->
            held.holder().equals(row.holder()) && held.fencingNumber().equals(row.fencingNumber()));
  }

  /** Tells whether the row has not changed for the lease time. */
  public boolean expired(long leaseNanos, long nowNanos) {
    return version != VERSION_NEVER_READ
        && (lastReadRow.isEmpty() || nowNanos - unchangedSinceNanos >= leaseNanos);
  }

  /**
   * Write whose result is not known.
   *
   * @param row row that was written
   * @param sentNanos time at which it was sent, in nanoseconds
   */
  public record PendingWrite(LeaseRow row, long sentNanos) {}
}
