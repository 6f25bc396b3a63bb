package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.EngineOrder;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.core.model.VmEntry;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.model.VmState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the controller lease and of repair. */
class ControllerTest {
  private static final LeaseRow LEASE_OF_OTHER_ENTRY =
      new LeaseRow(new VmId("entry-2"), new FencingNumber(4), 9);

  private final World world = new World(7);

  private void start() {
    for (String name : List.of("a1", "a2", "a3")) {
      world.add(name, Fixtures.stageCapability(0, 4, 100));
    }
    world.add("b1", Fixtures.stageCapability(4, Fixtures.LAYERS, 100));
    world.start();
  }

  // Guards against acquiring a lease whose holder may still be alive, and against an acquisition
  // that does not raise the fencing number.
  @Test
  void acquiresLeaseOnlyAfterItWasUnchangedForLeaseTime() {
    world.table.lease = Option.some(LEASE_OF_OTHER_ENTRY);
    world.table.leaseVersion = 3;
    start();
    world.run(5_500);
    assertThat(world.table.lease.get(), equalTo(LEASE_OF_OTHER_ENTRY));
    world.run(4_500);
    assertThat(world.table.lease.get().holder(), equalTo(Fixtures.ENTRY));
    assertThat(world.table.lease.get().fencingNumber(), equalTo(new FencingNumber(5)));
  }

  // Guards against a number of lease reads that grows with the number of entries: reads by 1,400
  // entries every 2 s would take a third of the reads that the store serves.
  @Test
  void onlyTheTwoHighestRankedEntriesOfDataCentreReadTheLease() {
    Vector<VmEntry> vms =
        Vector.range(0, 20).map(i -> Fixtures.vm("n" + i, VmRole.ENTRY, VmState.LIVE));
    int readers = 0;
    for (VmEntry vm : vms) {
      EntryState state = EntryState.initial(new EntryNode(vm.vm(), vm.dataCentre()), 1);
      EntryReducer reducer = new EntryReducer();
      state =
          reducer
              .reduce(
                  state, 0, new EntryEvent.ConfigurationAccepted(Fixtures.highLimitConfiguration()))
              .state();
      state = reducer.reduce(state, 0, new EntryEvent.VmListReceived(1, vms)).state();
      var step =
          reducer.reduce(
              state, 2_000_000_000L, new EntryEvent.TimerFired(new EntryTimer.LeaseTick()));
      readers += step.effects().count(effect -> effect instanceof EntryEffect.ReadLease);
    }
    assertThat(readers, is(2));
  }

  // Guards against losing the lease because it is not renewed.
  @Test
  void renewsTheLease() {
    start();
    world.run(30_000);
    assertThat(world.table.lease.get().fencingNumber(), equalTo(new FencingNumber(1)));
    assertThat(world.table.lease.get().renewals(), greaterThan(8L));
  }

  // Guards against a lost layer range that is not restored, and against choosing a donor whose
  // present range has no replicas beyond the minimum.
  @Test
  void holderRestoresLostRangeFromSpareReplica() {
    start();
    world.run(15_000);
    world.crash("b1");
    world.run(5_000);
    List<FakeAgent> ordered =
        world.agents.values().stream().filter(agent -> !agent.receivedOrders.isEmpty()).toList();
    assertThat(ordered, hasSize(1));
    assertThat(ordered.get(0).endpoint.value().startsWith("a"), is(true));
    EngineOrder.LoadModel load =
        (EngineOrder.LoadModel) ordered.get(0).receivedOrders.get(0).action();
    assertThat(load.layers(), equalTo(new LayerRange(4, Fixtures.LAYERS)));
    assertThat(ordered.get(0).receivedOrders.get(0).fencingNumber(), equalTo(new FencingNumber(1)));
  }

  // Guards against an order by a holder that was paused until its lease had expired.
  @Test
  void pausedHolderGivesNoOrder() {
    start();
    world.run(15_000);
    world.crash("b1");
    world.run(600);
    world.table.unavailable = true;
    world.nowNanos += 10_000 * Fixtures.NANOS_PER_MILLI;
    int before = countOrders();
    world.reduce(new EntryEvent.TimerFired(new EntryTimer.MaintenanceTick()));
    assertThat(countOrders(), equalTo(before));
    world.table.unavailable = false;
    world.table.lease = Option.some(LEASE_OF_OTHER_ENTRY);
    world.table.leaseVersion += 5;
    world.run(2_500);
    assertThat(world.state.controller().lease().heldRow().isDefined(), is(false));
    assertThat(countOrders(), equalTo(before));
  }

  // Guards against two faults after a lost response to the write that acquires the lease: the
  // holder does not learn that it holds the lease, or counts the lease time from a later time than
  // that of the write.
  @Test
  void readsBackAcquisitionWhoseResponseWasLost() {
    world.table.losesResponses = true;
    start();
    world.run(600);
    assertThat(world.table.lease.get().holder(), equalTo(Fixtures.ENTRY));
    assertThat(world.state.controller().lease().heldRow().isDefined(), is(false));
    long writtenNanos = world.state.controller().lease().pendingWrite().get().sentNanos();
    world.table.losesResponses = false;
    world.run(2_000);
    assertThat(world.table.lease.get().fencingNumber(), equalTo(new FencingNumber(1)));
    assertThat(
        world.state.controller().lease().validUntilNanos(),
        equalTo(writtenNanos + 6_000 * Fixtures.NANOS_PER_MILLI));
  }

  // Guards against a fencing number that is given out again after the store lost its first holder.
  @Test
  void restoredStoreGivesNoFencingNumberOutAgain() {
    start();
    world.run(30_000);
    FencingNumber before = world.state.controller().lease().heldRow().get().fencingNumber();
    world.table.lease = Option.none();
    world.table.leaseVersion = PackedStoreVersion.of(1, 0);
    world.run(3_000);
    LeaseRow after = world.state.controller().lease().heldRow().get();
    assertThat(after.fencingNumber().compareTo(before), greaterThan(0));

    world.table.lease = Option.some(LEASE_OF_OTHER_ENTRY);
    world.table.leaseVersion = PackedStoreVersion.of(2, 3);
    world.run(5_000);
    assertThat(world.table.lease.get(), equalTo(LEASE_OF_OTHER_ENTRY));
    assertThat(world.state.controller().lease().heldRow().isDefined(), is(false));
    world.run(10_000);
    LeaseRow last = world.state.controller().lease().heldRow().get();
    assertThat(last.fencingNumber().compareTo(after.fencingNumber()), greaterThan(0));
  }

  // Guards against keeping a number of an earlier era, which another entry may get as well.
  @Test
  void holderTakesNewFencingNumberInEachEra() {
    start();
    world.run(30_000);
    LeaseRow held = world.state.controller().lease().heldRow().get();
    world.table.leaseVersion = PackedStoreVersion.of(1, world.table.leaseVersion - 3);
    world.run(5_000);
    LeaseRow after = world.state.controller().lease().heldRow().get();
    assertThat(after.fencingNumber().compareTo(held.fencingNumber()), greaterThan(0));
    assertThat(PackedStoreVersion.era(after.fencingNumber().value()), is(1L));
  }

  private int countOrders() {
    return world.agents.values().stream().mapToInt(agent -> agent.receivedOrders.size()).sum();
  }
}
