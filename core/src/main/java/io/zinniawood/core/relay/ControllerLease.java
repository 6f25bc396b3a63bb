package io.zinniawood.core.relay;

import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.entry.lease.LeaseView;
import io.zinniawood.core.id.FencingNumber;
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

  /** On every fourth tick the holder reads the table instead of renewing, to see other relays. */
  private static final int HOLDER_READ_INTERVAL_TICKS = 4;

  /** Read interval of the other relays; longer than the renewals to limit calls to the store. */
  private static final long READ_INTERVAL_NANOS = LEASE_NANOS / 2;

  /**
   * Interval between presence heartbeats; three of them fit into the absence timeout of {@link
   * RelayPresence}.
   */
  private static final long PRESENCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

  private ControllerLease() {}

  /** Returns whether this relay holds the lease and its validity has not expired. */
  static boolean held(RelayTurn turn) {
    LeaseView lease = turn.state.lease;
    return lease.heldRow().isDefined() && turn.nowNanos - lease.validUntilNanos() < 0;
  }

  /** Writes the presence heartbeat by which other relays count this one when sharing limits. */
  private static void writePresence(RelayTurn turn) {
    RelayState state = turn.state;
    if (turn.nowNanos - state.nextPresenceNanos >= 0) {
      state.nextPresenceNanos = turn.nowNanos + PRESENCE_INTERVAL_NANOS;
      turn.emit(new RelayEffect.WritePresence(state.parameters.vm(), ++state.presenceHeartbeats));
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
    state.nextLeaseTickNanos =
        turn.nowNanos + (holder ? RENEWAL_INTERVAL_NANOS : READ_INTERVAL_NANOS);
    state.leaseTicks++;
    if (holder
        && lease.pendingWrite().isEmpty()
        && state.leaseTicks % HOLDER_READ_INTERVAL_TICKS != 0) {
      LeaseRow row = lease.heldRow().get();
      write(turn, new LeaseRow(row.holder(), row.fencingNumber(), row.renewals() + 1));
    } else {
      turn.emit(new RelayEffect.ReadLease());
    }
  }

  static void leaseRead(RelayTurn turn, RelayEvent.LeaseRead event) {
    LeaseView before = turn.state.lease;
    LeaseView after = before.afterRead(event.row(), event.version(), LEASE_NANOS, turn.nowNanos);
    turn.state.lease = after;
    if (after.heldRow().isDefined() != before.heldRow().isDefined()) {
      turn.log(
          after.heldRow().isDefined() ? "lease-taken" : "lease-lost",
          "holder",
          event.row().map(row -> row.holder().value()).getOrElse("-"),
          "fence",
          event.row().map(row -> row.fencingNumber().value()).getOrElse(0L),
          "rowVersion",
          event.version());
    }
    if (after.heldRow().isEmpty()
        && after.expired(LEASE_NANOS, turn.nowNanos)
        && turn.state.ready) {
      long fencingNumber = event.row().map(row -> row.fencingNumber().value()).getOrElse(0L) + 1;
      write(turn, new LeaseRow(turn.state.parameters.vm(), new FencingNumber(fencingNumber), 0));
    }
  }

  private static void write(RelayTurn turn, LeaseRow row) {
    turn.state.lease = turn.state.lease.withPendingWrite(row, turn.nowNanos);
    turn.emit(new RelayEffect.WriteLease(turn.state.lease.version(), row));
  }
}
