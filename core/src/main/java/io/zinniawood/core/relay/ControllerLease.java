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

  /** Others read half as often: each call to the store costs. */
  private static final long READ_NANOS = LEASE_NANOS / 2;

  private ControllerLease() {}

  /** Tells whether this relay surely holds the lease now. */
  static boolean held(RelayTurn turn) {
    LeaseView lease = turn.state.lease;
    return lease.mine().isDefined() && turn.nowNanos - lease.validUntilNanos() < 0;
  }

  static void tick(RelayTurn turn) {
    RelayState state = turn.state;
    if (!state.ready || turn.nowNanos - state.leaseTickNanos < 0) {
      return;
    }
    LeaseView lease = state.lease;
    boolean holder = lease.mine().isDefined();
    state.leaseTickNanos = turn.nowNanos + (holder ? RENEWAL_NANOS : READ_NANOS);
    if (holder && lease.pending().isEmpty()) {
      LeaseRow row = lease.mine().get();
      write(turn, new LeaseRow(row.holder(), row.fencingNumber(), row.renewals() + 1));
    } else {
      turn.emit(new RelayEffect.ReadLease());
    }
  }

  static void read(RelayTurn turn, RelayEvent.LeaseRead event) {
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
      write(turn, new LeaseRow(turn.state.self.vm(), new FencingNumber(fence), 0));
    }
  }

  private static void write(RelayTurn turn, LeaseRow row) {
    turn.state.lease = turn.state.lease.writing(row, turn.nowNanos);
    turn.emit(new RelayEffect.WriteLease(turn.state.lease.version(), row));
  }
}
