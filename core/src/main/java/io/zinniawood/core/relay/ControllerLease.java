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
  private static final long RENEWAL_NANOS = LEASE_NANOS / 3;

  /** The holder reads the table once in so many renewals, to see the other relays. */
  private static final int HOLDER_READ_TICKS = 4;

  /** Others read half as often: each call to the store costs. */
  private static final long READ_NANOS = LEASE_NANOS / 2;

  /** Time between two signs of presence; three of them fit into the time of absence. */
  private static final long PRESENCE_NANOS = TimeUnit.SECONDS.toNanos(4);

  private ControllerLease() {}

  /** Tells whether this relay surely holds the lease now. */
  static boolean held(RelayTurn turn) {
    LeaseView lease = turn.state.lease;
    return lease.heldRow().isDefined() && turn.nowNanos - lease.validUntilNanos() < 0;
  }

  /** Shows the presence of this relay to the others, who share limits with it. */
  private static void showPresence(RelayTurn turn) {
    RelayState state = turn.state;
    if (turn.nowNanos - state.presenceTickNanos >= 0) {
      state.presenceTickNanos = turn.nowNanos + PRESENCE_NANOS;
      turn.emit(new RelayEffect.ShowPresence(state.self.vm(), ++state.presences));
    }
  }

  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (!state.ready || turn.nowNanos - state.leaseTickNanos < 0) {
      return;
    }
    showPresence(turn);
    LeaseView lease = state.lease;
    boolean holder = lease.heldRow().isDefined();
    state.leaseTickNanos = turn.nowNanos + (holder ? RENEWAL_NANOS : READ_NANOS);
    state.holderTicks++;
    if (holder && lease.pendingWrite().isEmpty() && state.holderTicks % HOLDER_READ_TICKS != 0) {
      LeaseRow row = lease.heldRow().get();
      write(turn, new LeaseRow(row.holder(), row.fencingNumber(), row.renewals() + 1));
    } else {
      turn.emit(new RelayEffect.ReadLease());
    }
  }

  static void read(RelayTurn turn, RelayEvent.LeaseRead event) {
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
      long fence = event.row().map(row -> row.fencingNumber().value()).getOrElse(0L) + 1;
      write(turn, new LeaseRow(turn.state.self.vm(), new FencingNumber(fence), 0));
    }
  }

  private static void write(RelayTurn turn, LeaseRow row) {
    turn.state.lease = turn.state.lease.withPendingWrite(row, turn.nowNanos);
    turn.emit(new RelayEffect.WriteLease(turn.state.lease.version(), row));
  }
}
