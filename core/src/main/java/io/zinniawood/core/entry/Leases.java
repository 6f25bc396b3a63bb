package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.zinniawood.core.entry.lease.LeaseRole;
import io.zinniawood.core.entry.lease.LeaseView;
import io.zinniawood.core.entry.membership.EntryRanking;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.model.VmEntry;

/** Acquires and renews the controller lease. */
final class Leases {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** With three ticks, two renewals may be lost before the lease expires. */
  private static final int TICKS_PER_LEASE_TIME = 3;

  /** Two, so that one failure does not leave a data centre without a candidate. */
  private static final int CANDIDATES_PER_DATA_CENTRE = 2;

  private Leases() {}

  /** Starts the timer at which the lease is renewed or checked. */
  static void start(Turn turn) {
    turn.startTimer(new EntryTimer.LeaseTick(), leaseNanos(turn) / TICKS_PER_LEASE_TIME);
  }

  /**
   * Renews the lease if this entry holds it and knows the result of its last write. Otherwise reads
   * it if this entry is a candidate or waits for the result of a write.
   */
  static void tick(Turn turn) {
    start(turn);
    if (turn.state().lifecycle() != Lifecycle.READY) {
      return;
    }
    LeaseView lease = turn.state().controller().lease();
    if (lease.heldRow().isDefined() && lease.pendingWrite().isEmpty()) {
      LeaseRow row = lease.heldRow().get();
      writeLease(turn, new LeaseRow(row.holder(), row.fencingNumber(), row.renewals() + 1));
    } else if (lease.pendingWrite().isDefined()
        || turn.state().controller().role() == LeaseRole.CANDIDATE) {
      turn.emit(new EntryEffect.ReadLease());
    }
  }

  /**
   * Makes this entry a candidate if it is among the highest-ranked entries of its data centre.
   * Reads by all 1,400 entries of the design size every 2 s would take 700 of the store's 2,000
   * reads per second.
   */
  static void updateRole(Turn turn, Vector<VmEntry> vms) {
    EntryNode self = turn.state().self();
    Vector<VmEntry> ranked =
        EntryRanking.highestRanked(vms, self.dataCentre(), CANDIDATES_PER_DATA_CENTRE);
    // A VM list without any entry in this data centre is out of date; without candidates nobody
    // would hold the lease.
    boolean candidate = ranked.isEmpty() || ranked.exists(entry -> entry.vm().equals(self.vm()));
    LeaseRole role = candidate ? LeaseRole.CANDIDATE : LeaseRole.OBSERVER;
    turn.update(state -> state.withController(state.controller().with(role)));
  }

  static void handleRead(Turn turn, EntryEvent.LeaseRead event) {
    setStoreState(turn, ControllerState.StoreState.AVAILABLE);
    LeaseView before = turn.state().controller().lease();
    LeaseView after =
        before.afterRead(event.row(), event.version(), leaseNanos(turn), turn.nowNanos());
    setLease(turn, after);
    if (after.heldRow().exists(row -> isOfEarlierEra(row, event.version()))) {
      acquire(turn, event);
      return;
    }
    if (after.heldRow().isDefined() && before.heldRow().isEmpty()) {
      reportAcquired(turn, after.heldRow().get());
    } else if (after.heldRow().isEmpty() && before.heldRow().isDefined()) {
      reportLost(turn, event);
    } else if (after.heldRow().isEmpty()
        && after.expired(leaseNanos(turn), turn.nowNanos())
        && turn.state().lifecycle() == Lifecycle.READY) {
      acquire(turn, event);
    }
  }

  /**
   * Writes the lease with a new fencing number. The version of the write makes it unique and higher
   * than all numbers of earlier eras, also of those that the store has lost.
   */
  private static void acquire(Turn turn, EntryEvent.LeaseRead event) {
    long last = event.row().map(row -> row.fencingNumber().value()).getOrElse(0L);
    FencingNumber next = new FencingNumber(Math.max(event.version(), last) + 1);
    writeLease(turn, new LeaseRow(turn.state().self().vm(), next, 0));
  }

  /** Tells whether another holder may have the fencing number of a row that the store has lost. */
  private static boolean isOfEarlierEra(LeaseRow row, long version) {
    return PackedStoreVersion.era(row.fencingNumber().value()) < PackedStoreVersion.era(version);
  }

  /**
   * Records that the table is unavailable. The view of the lease stays, as a write without an
   * answer may have taken effect; the next read shows whether it did.
   */
  static void handleStoreUnavailable(Turn turn) {
    setStoreState(turn, ControllerState.StoreState.UNAVAILABLE);
  }

  /** Gives up the lease after an agent reported a higher fencing number. */
  static void relinquish(Turn turn) {
    setLease(turn, turn.state().controller().lease().withoutLease());
  }

  private static void reportAcquired(Turn turn, LeaseRow row) {
    turn.recordIncident(
        IncidentKind.LEASE_TAKEN,
        row.holder().value(),
        "holds the controller lease with fencing number %s".formatted(row.fencingNumber()));
    Membership.connectSubset(turn);
  }

  private static void reportLost(Turn turn, EntryEvent.LeaseRead event) {
    turn.recordIncident(
        IncidentKind.LEASE_TAKEN,
        turn.state().self().vm().value(),
        "lost the controller lease to %s"
            .formatted(event.row().map(row -> row.holder().value()).getOrElse("no holder")));
    Membership.connectSubset(turn);
  }

  private static void writeLease(Turn turn, LeaseRow row) {
    LeaseView lease = turn.state().controller().lease();
    setLease(turn, lease.withPendingWrite(row, turn.nowNanos()));
    turn.emit(new EntryEffect.WriteLease(lease.version(), row));
  }

  private static void setLease(Turn turn, LeaseView lease) {
    turn.update(state -> state.withController(state.controller().with(lease)));
  }

  private static void setStoreState(Turn turn, ControllerState.StoreState next) {
    if (turn.state().controller().store() != next) {
      turn.update(state -> state.withController(state.controller().with(next)));
      turn.recordIncident(
          IncidentKind.STORE_STATE,
          "table",
          next == ControllerState.StoreState.AVAILABLE
              ? "the table answers again"
              : "the table does not answer; the lease and calls with idempotency keys wait for it");
    }
  }

  private static long leaseNanos(Turn turn) {
    return turn.cluster().repair().leaseMillis() * NANOS_PER_MILLI;
  }
}
