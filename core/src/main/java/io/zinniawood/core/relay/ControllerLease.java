package io.zinniawood.core.relay;

import io.vavr.control.Option;
import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.entry.lease.LeaseView;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Acquires and renews the controller lease, which allows one relay at a time to give placement
 * orders.
 */
final class ControllerLease {
  /** Time without a change of the lease row after which another relay may take the lease. */
  private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  /** Renewal interval of the holder: three renewals within one lease duration. */
  private static final long RENEWAL_INTERVAL_NANOS = LEASE_NANOS / 3;

  /** On every seventh tick the holder reads the table instead of renewing, to see other relays. */
  private static final int HOLDER_READ_INTERVAL_TICKS = 7;

  /** Read interval of the other relays; longer than the renewals to limit calls to the store. */
  private static final long READ_INTERVAL_NANOS = LEASE_NANOS / 2;

  /**
   * Interval between presence heartbeats, and between reads of a relay that the holder tells of its
   * renewals. Three heartbeats fit into the absence timeout of {@link Peers}.
   */
  private static final long PRESENCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(9);

  /** Fencing numbers of an era; those of the next one begin above them. */
  private static final long FENCING_NUMBERS_PER_ERA = 1L << 20;

  private ControllerLease() {}

  /**
   * Forgets the lease, whose row in the copy may be older or missing, so that it is acquired anew,
   * and writes the presence row again.
   */
  static void eraChanged(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.lease.heldRow().isDefined()) {
      logLost(turn, state.lease.heldRow().get(), "store-era");
    }
    state.lease = LeaseView.unknown();
    state.leaseNoticeReceived = false;
    state.nextLeaseTickNanos = turn.nowNanos;
    state.nextPresenceNanos = turn.nowNanos;
  }

  /** Gives up the lease after an endpoint had seen a higher fencing number. */
  static void fenced(RelayTurn turn) {
    LeaseView lease = turn.state.lease;
    if (lease.heldRow().isDefined()) {
      logLost(turn, lease.heldRow().get(), "fenced");
      turn.state.lease = lease.withoutLease();
    }
  }

  private static void logLost(RelayTurn turn, LeaseRow row, String reason) {
    turn.log(
        "lease-lost",
        "holder",
        row.holder().value(),
        "fence",
        row.fencingNumber().value(),
        "rowVersion",
        turn.state.lease.version(),
        "reason",
        reason);
  }

  /** Returns whether this relay holds the lease and its validity has not expired. */
  static boolean held(RelayTurn turn) {
    LeaseView lease = turn.state.lease;
    return lease.heldRow().isDefined() && turn.nowNanos - lease.validUntilNanos() < 0;
  }

  /** Writes the presence heartbeat by which other relays count this one when sharing limits. */
  static void writePresence(RelayTurn turn) {
    RelayState state = turn.state;
    if (turn.nowNanos - state.nextPresenceNanos >= 0) {
      state.nextPresenceNanos = turn.nowNanos + PRESENCE_INTERVAL_NANOS;
      turn.emit(
          new RelayEffect.WritePresence(
              state.parameters.vm(), state.parameters.peerAddress(), ++state.presenceHeartbeats));
    }
  }

  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (!state.ready || turn.nowNanos - state.nextLeaseTickNanos < 0) {
      return;
    }
    writePresence(turn);
    LeaseView lease = state.lease;
    boolean holder = lease.heldRow().isDefined();
    if (!holder && toldByHolder(turn)) {
      return;
    }
    state.nextLeaseTickNanos =
        turn.nowNanos + (holder ? RENEWAL_INTERVAL_NANOS : READ_INTERVAL_NANOS);
    state.leaseTicks++;
    if (holder
        && lease.pendingWrite().isEmpty()
        && state.leaseTicks % HOLDER_READ_INTERVAL_TICKS != 0) {
      LeaseRow row = lease.heldRow().get();
      write(turn, new LeaseRow(row.holder(), row.fencingNumber(), row.renewals() + 1));
    } else {
      state.nextLeaseReadNanos = turn.nowNanos + PRESENCE_INTERVAL_NANOS;
      turn.emit(new RelayEffect.ReadLease());
    }
  }

  /** Returns whether the holder's messages tell of its renewals and no read is due. */
  private static boolean toldByHolder(RelayTurn turn) {
    RelayState state = turn.state;
    return state.leaseNoticeReceived
        && turn.nowNanos - state.leaseNoticeNanos < READ_INTERVAL_NANOS
        && turn.nowNanos - state.nextLeaseReadNanos < 0;
  }

  /** Returns the lease for the messages to other relays; empty if this relay does not hold it. */
  static Optional<LeaseNotice> notice(RelayTurn turn) {
    return held(turn)
        ? turn.state
            .lease
            .heldRow()
            .toJavaOptional()
            .map(
                row ->
                    new LeaseNotice(
                        row.fencingNumber(),
                        row.renewals(),
                        new StoreVersion(turn.state.storeEra, turn.state.lease.version())))
        : Optional.empty();
  }

  /** Takes over the lease row from a message of its holder, like a read of that row. */
  static void heard(RelayTurn turn, VmId holder, LeaseNotice notice) {
    RelayState state = turn.state;
    raiseFencingNumber(turn, notice.fencingNumber());
    if (!notice.rowVersion().era().equals(state.storeEra)
        || notice.rowVersion().number() < state.lease.version()) {
      state.ignoredLog.log(
          turn,
          "lease-notice-ignored",
          "vm",
          holder.value(),
          "rowVersion",
          notice.rowVersion(),
          "known",
          state.lease.version());
      return;
    }
    state.leaseNoticeReceived = true;
    state.leaseNoticeNanos = turn.nowNanos;
    if (notice.rowVersion().number() > state.lease.version()) {
      applyRow(
          turn,
          Option.some(new LeaseRow(holder, notice.fencingNumber(), notice.renewals())),
          notice.rowVersion());
    }
  }

  private static void applyRow(RelayTurn turn, Option<LeaseRow> row, StoreVersion version) {
    row.forEach(read -> raiseFencingNumber(turn, read.fencingNumber()));
    LeaseView before = turn.state.lease;
    LeaseView after = before.afterRead(row, version.number(), LEASE_NANOS, turn.nowNanos);
    turn.state.lease = after;
    if (after.heldRow().isDefined() != before.heldRow().isDefined()) {
      turn.log(
          after.heldRow().isDefined() ? "lease-taken" : "lease-lost",
          "holder",
          row.map(read -> read.holder().value()).getOrElse("-"),
          "fence",
          row.map(read -> read.fencingNumber().value()).getOrElse(0L),
          "rowVersion",
          version);
    }
  }

  static void leaseRead(RelayTurn turn, RelayEvent.LeaseRead event) {
    if (!StoreEras.accepts(turn, event.version().era())) {
      return;
    }
    applyRow(turn, event.row(), event.version());
    LeaseView after = turn.state.lease;
    if (after.heldRow().isEmpty()
        && after.expired(LEASE_NANOS, turn.nowNanos)
        && !rowPerhapsLost(turn, event.row())
        && turn.state.ready) {
      write(turn, new LeaseRow(turn.state.parameters.vm(), nextFencingNumber(turn), 0));
    }
  }

  /**
   * Returns whether the row may be missing because the store came back from a copy, so that a relay
   * that has not seen the new era may still hold the lease.
   */
  private static boolean rowPerhapsLost(RelayTurn turn, Option<LeaseRow> row) {
    return row.isEmpty()
        && StoreEras.perhapsRestored(turn)
        && turn.nowNanos - turn.state.storeEraSeenNanos < LEASE_NANOS;
  }

  /** A number above all of former eras, also of those that neither store nor relay remembers. */
  private static FencingNumber nextFencingNumber(RelayTurn turn) {
    RelayState state = turn.state;
    state.highestFencingNumber =
        Math.max(state.highestFencingNumber, state.storeEra.value() * FENCING_NUMBERS_PER_ERA) + 1;
    return new FencingNumber(state.highestFencingNumber);
  }

  private static void raiseFencingNumber(RelayTurn turn, FencingNumber seen) {
    turn.state.highestFencingNumber = Math.max(turn.state.highestFencingNumber, seen.value());
  }

  private static void write(RelayTurn turn, LeaseRow row) {
    turn.state.lease = turn.state.lease.withPendingWrite(row, turn.nowNanos);
    turn.emit(new RelayEffect.WriteLease(turn.state.lease.version(), row));
  }
}
