package io.zinniawood.core.relay;

import io.zinniawood.core.entry.LeaseRow;
import io.zinniawood.core.entry.lease.LeaseView;
import io.zinniawood.core.id.FencingNumber;
import java.util.concurrent.TimeUnit;

/** Takes and renews the controller lease, so that one relay at a time orders layers. */
final class ControllerLease {
  /** Time after which an unchanged lease is free, in nanoseconds. */
  private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

  /** The holder renews three times within a lease. */
  private static final long RENEWAL_INTERVAL_NANOS = LEASE_NANOS / 3;

  /** The holder reads the table once in so many renewals, to see the other relays. */
  private static final int HOLDER_READ_INTERVAL_TICKS = 4;

  /** Others read half as often: each call to the store costs. */
  private static final long READ_INTERVAL_NANOS = LEASE_NANOS / 2;

  /** Time between two signs of presence; three of them fit into the time of absence. */
  private static final long PRESENCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

  private ControllerLease() {}

  /** Tells whether this relay surely holds the lease now. */
  static boolean held(RelayTurn turn) {
    LeaseView lease = turn.state.lease;
    return lease.mine().isDefined() && turn.nowNanos - lease.validUntilNanos() < 0;
  }

  /** Shows the presence of this relay to the others, who share limits with it. */
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
    boolean holder = lease.mine().isDefined();
    state.nextLeaseTickNanos =
        turn.nowNanos + (holder ? RENEWAL_INTERVAL_NANOS : READ_INTERVAL_NANOS);
    state.leaseTicks++;
    if (holder && lease.pending().isEmpty() && state.leaseTicks % HOLDER_READ_INTERVAL_TICKS != 0) {
      LeaseRow row = lease.mine().get();
      write(turn, new LeaseRow(row.holder(), row.fencingNumber(), row.renewals() + 1));
    } else {
      turn.emit(new RelayEffect.ReadLease());
    }
  }

  static void leaseRead(RelayTurn turn, RelayEvent.LeaseRead event) {
    LeaseView before = turn.state.lease;
    LeaseView after = before.read(event.row(), event.version(), LEASE_NANOS, turn.nowNanos);
    turn.state.lease = after;
    if (after.mine().isDefined() != before.mine().isDefined()) {
      turn.log(
          after.mine().isDefined() ? "lease-taken" : "lease-lost",
          "holder",
          event.row().map(row -> row.holder().value()).getOrElse("-"),
          "fence",
          event.row().map(row -> row.fencingNumber().value()).getOrElse(0L),
          "rowVersion",
          event.version());
    }
    if (after.mine().isEmpty() && after.expired(LEASE_NANOS, turn.nowNanos) && turn.state.ready) {
      long fence = event.row().map(row -> row.fencingNumber().value()).getOrElse(0L) + 1;
      write(turn, new LeaseRow(turn.state.parameters.vm(), new FencingNumber(fence), 0));
    }
  }

  private static void write(RelayTurn turn, LeaseRow row) {
    turn.state.lease = turn.state.lease.writing(row, turn.nowNanos);
    turn.emit(new RelayEffect.WriteLease(turn.state.lease.version(), row));
  }
}
