package io.zinniawood.core.entry.lease;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;

/**
 * View that a node has of the controller lease. All times are of its own monotonic clock.
 *
 * @param lastReadRow row that was read last
 * @param version version of that row, 0 if it did not exist
 * @param unchangedSinceNanos time at which this version was first read, in nanoseconds
 * @param heldRow last row that this node wrote and that no read has shown to be replaced
 * @param validUntilNanos time until which no other node can have acquired the lease, in nanoseconds
 * @param ordersAllowedFromNanos time from which the holder may give orders, one lease time after it
 *     learned of its acquisition, in nanoseconds
 * @param pendingWrite write whose result is not known, if any
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

  /** Tells whether this node certainly holds the lease and may give orders at the given time. */
  public boolean mayGiveOrders(long nowNanos) {
    return heldRow.isDefined()
        && nowNanos - validUntilNanos < 0
        && nowNanos - ordersAllowedFromNanos >= 0;
  }

  /** Returns this view after a write was sent whose result is not known. */
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

  /** Returns this view after the lease was given up. */
  public LeaseView withoutLease() {
    return new LeaseView(
        lastReadRow, version, unchangedSinceNanos, Option.none(), 0, 0, Option.none());
  }

  /**
   * Returns this view after the row was read. Only a row that confirms a pending write extends the
   * validity, counted from the time at which the write was sent. A late answer to an earlier read
   * shows a lower version and is ignored while the lease is valid.
   *
   * @param row row that was read, none if it does not exist
   * @param readVersion version of the row
   * @param leaseNanos lease time in nanoseconds
   * @param nowNanos present time in nanoseconds
   */
  public LeaseView afterRead(
      Option<LeaseRow> row, long readVersion, long leaseNanos, long nowNanos) {
    long since = readVersion == version ? unchangedSinceNanos : nowNanos;
    Option<PendingWrite> confirmed = pendingWrite.filter(write -> row.contains(write.row()));
    if (confirmed.isDefined()) {
      boolean acquired =
          heldRow.forAll(held -> !held.fencingNumber().equals(row.get().fencingNumber()));
      return new LeaseView(
          row,
          readVersion,
          since,
          row,
          confirmed.get().sentNanos() + leaseNanos,
          acquired ? nowNanos + leaseNanos : ordersAllowedFromNanos,
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

  /**
   * Tells whether another node may acquire the lease: the row does not exist or has not changed for
   * the lease time. Before the first read, the lease does not count as expired.
   */
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
