package io.zinniawood.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class FleetViewTest {
  private static final EndpointId ID = new EndpointId("a");

  private final FleetView fleet = new FleetView();

  private static FleetEndpoint endpoint(boolean draining, long startedMillis, long rowVersion) {
    return new FleetEndpoint(
        ID,
        new ServiceName("s"),
        new NodeAddress("10.0.0.1", 80),
        new DataCentreId("d"),
        6,
        draining,
        Optional.empty(),
        Optional.empty(),
        startedMillis,
        0,
        new StoreVersion(StoreEra.UNNAMED, rowVersion));
  }

  /** Returns the entry that a start of the endpoint wrote with one of its check-ins. */
  private static FleetEndpoint checkIn(long startedMillis, long sequence, long rowVersion) {
    return endpoint(false, startedMillis, rowVersion)
        .asOf(sequence, new StoreVersion(StoreEra.UNNAMED, rowVersion));
  }

  private void change(FleetEndpoint changed, long nowMillis) {
    fleet.applyChanges(List.of(changed), List.of(), millis(nowMillis));
  }

  private boolean usable(long nowMillis) {
    return fleet.find(ID).orElseThrow().usable(millis(nowMillis));
  }

  private void replaceAll(List<FleetEndpoint> endpoints, long nowNanos) {
    fleet.replaceAll(endpoints, new StoreVersion(StoreEra.UNNAMED, 100), nowNanos);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  // An endpoint whose entry was removed must not receive further requests.
  @Test
  void removedEndpointIsDroppedImmediately() {
    replaceAll(List.of(endpoint(false, 1, 1)), 0);
    fleet.applyChanges(List.of(), List.of(ID), millis(10));
    assertThat(fleet.find(ID).isPresent(), is(false));
  }

  // Entries that expired during a store outage reappear within two seconds of its end. Until then
  // their endpoints must stay in use.
  @Test
  void endpointExpiredDuringStoreOutageIsKeptUntilItReappears() {
    replaceAll(List.of(endpoint(false, 1, 1)), 0);
    fleet.storeLost();
    fleet.storeAnswered(millis(5_000));
    fleet.applyChanges(List.of(), List.of(ID), millis(5_010));
    assertThat(fleet.find(ID).isPresent(), is(true));
    fleet.applyChanges(List.of(endpoint(false, 1, 9)), List.of(), millis(6_000));
    fleet.removeExpired(millis(9_000));
    assertThat(fleet.find(ID).isPresent(), is(true));
  }

  // An endpoint that does not reappear within the grace time after a store outage must be dropped.
  @Test
  void endpointThatDoesNotReappearIsDropped() {
    replaceAll(List.of(endpoint(false, 1, 1)), 0);
    fleet.storeLost();
    fleet.storeAnswered(millis(5_000));
    replaceAll(List.of(), millis(5_010));
    fleet.removeExpired(millis(7_300));
    assertThat(fleet.find(ID).isPresent(), is(false));
  }

  // A store answer that arrives late must not overwrite a newer entry.
  @Test
  void olderEntryDoesNotReplaceNewerOne() {
    replaceAll(List.of(endpoint(true, 1, 5)), 0);
    fleet.applyChanges(List.of(endpoint(false, 1, 4)), List.of(), millis(10));
    assertThat(fleet.find(ID).orElseThrow().usable(millis(20)), is(false));
  }

  // A failed endpoint is used again after a heartbeat that was sent after the failure. Here the row
  // version 2 arrives 0.9 s after the failure, which is too early to prove that.
  @Test
  void laterHeartbeatEndsAvoidance() {
    replaceAll(List.of(endpoint(false, 1, 1)), 0);
    fleet.avoidAfterFailure(fleet.find(ID).orElseThrow(), millis(100));
    fleet.applyChanges(List.of(endpoint(false, 1, 2)), List.of(), millis(1_000));
    assertThat(fleet.find(ID).orElseThrow().usable(millis(1_001)), is(false));
    fleet.applyChanges(List.of(endpoint(false, 1, 3)), List.of(), millis(2_000));
    assertThat(fleet.find(ID).orElseThrow().usable(millis(2_001)), is(true));
  }

  // An endpoint that restarts under the same id has neither its layers nor its accepted orders.
  @Test
  void restartUnderTheSameIdClearsRecordedState() {
    replaceAll(List.of(endpoint(false, 1, 1)), 0);
    TrackedEndpoint known = fleet.find(ID).orElseThrow();
    known.orderAccepted();
    known.orderLayers(new LayerRange(0, 3), millis(60_000));
    fleet.applyChanges(List.of(endpoint(false, 2, 2)), List.of(), millis(10));
    assertThat(known.ordersAccepted(), is(0L));
    assertThat(known.plannedLayers(millis(11)), is(Optional.empty()));
  }

  // An old check-in that the store performed late made a draining endpoint ready again.
  @Test
  void checkInPerformedLateDoesNotUndoDraining() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    change(endpoint(true, 1, 5).asOf(5, new StoreVersion(StoreEra.UNNAMED, 5)), 10);
    change(checkIn(1, 4, 6), 20);
    assertThat(usable(30), is(false));
  }

  // The same where the endpoint itself lists itself as ready after it has reported that it drains.
  @Test
  void drainingIsFinalUntilTheNextStart() {
    replaceAll(List.of(endpoint(true, 1, 5)), 0);
    change(checkIn(1, 6, 6), 10);
    assertThat(usable(20), is(false));
    change(checkIn(2, 1, 7), 30);
    assertThat(usable(40), is(true));
  }

  // A late check-in was taken for a sign of life of an endpoint that had failed since.
  @Test
  void checkInPerformedLateDoesNotEndAvoidance() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    fleet.avoidAfterFailure(fleet.find(ID).orElseThrow(), millis(100));
    change(checkIn(1, 2, 4), 2_000);
    assertThat(usable(2_001), is(false));
    change(checkIn(1, 4, 5), 2_100);
    assertThat(usable(2_101), is(true));
  }

  // A late check-in of the former start replaced the entry of an endpoint that had started anew.
  @Test
  void checkInOfFormerStartDoesNotReplaceLaterStart() {
    replaceAll(List.of(checkIn(2, 1, 3)), 0);
    change(checkIn(1, 9, 4), 10);
    assertThat(fleet.find(ID).orElseThrow().entry().startedMillis(), is(2L));
  }

  // A clock that was set back gives a new start a lower time; it must not be ignored for good.
  @Test
  void startWithLowerTimeCountsOnceItGoesOnToCheckIn() {
    replaceAll(List.of(checkIn(2, 9, 3)), 0);
    change(checkIn(1, 1, 4), 10);
    change(checkIn(1, 2, 5), 1_000);
    assertThat(fleet.find(ID).orElseThrow().entry().startedMillis(), is(1L));
    assertThat(usable(1_001), is(true));
  }

  // An entry that is out of date everywhere must not confirm a late check-in of the former start.
  @Test
  void outdatedEntryDoesNotConfirmLateCheckIn() {
    replaceAll(List.of(checkIn(2, 1, 5)), 0);
    change(checkIn(1, 8, 4), 10);
    change(checkIn(1, 9, 6), 20);
    assertThat(fleet.find(ID).orElseThrow().entry().startedMillis(), is(2L));
  }

  // A late check-in listed an endpoint again whose entry had been removed.
  @Test
  void removedEndpointIsUsedAgainOnlyOnceItGoesOnToCheckIn() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    fleet.applyChanges(List.of(), List.of(ID), millis(10));
    change(checkIn(1, 2, 5), 20);
    assertThat(usable(30), is(false));
    change(checkIn(1, 4, 6), 1_000);
    assertThat(usable(1_001), is(true));
  }

  // Two late check-ins in a row were taken for a start that goes on, and a removed endpoint was
  // used
  // until it exited, as the check-ins that it had made after them were forgotten with its entry.
  @Test
  void checkInsPerformedLateDoNotBringRemovedEndpointBackIntoUse() {
    replaceAll(List.of(checkIn(1, 12, 12)), 0);
    fleet.applyChanges(List.of(), List.of(ID), millis(100));
    change(checkIn(1, 8, 14), 1_000);
    change(checkIn(1, 9, 15), 2_100);
    assertThat(usable(2_101), is(false));
    fleet.applyChanges(List.of(), List.of(ID), millis(5_000));
    change(checkIn(1, 10, 17), 5_500);
    change(checkIn(1, 11, 18), 6_000);
    assertThat(usable(6_001), is(false));
    change(checkIn(1, 13, 19), 7_000);
    assertThat("used once it checks in after what was known", usable(7_001), is(true));
  }

  // The same while the endpoint is listed: the row of a check-in that was sent before draining.
  @Test
  void checkInsPerformedLateDoNotReplaceLaterOneOfTheSameStart() {
    replaceAll(List.of(checkIn(1, 12, 12)), 0);
    change(checkIn(1, 8, 14), 1_000);
    change(checkIn(1, 9, 15), 2_100);
    assertThat(fleet.find(ID).orElseThrow().entry().sequence(), is(12L));
  }

  // The same for a start that was followed by another one under the same id.
  @Test
  void checkInsPerformedLateDoNotReplaceLaterStart() {
    replaceAll(List.of(checkIn(1, 12, 12)), 0);
    change(checkIn(2, 1, 13), 500);
    change(checkIn(1, 8, 14), 1_000);
    change(checkIn(1, 9, 15), 2_100);
    assertThat(fleet.find(ID).orElseThrow().entry().startedMillis(), is(2L));
  }

  // An entry of somebody else with a high sequence must not keep an endpoint out of use for good.
  @Test
  void lowerSequenceCountsOnceItGoesOnForLongerThanWritesAreLate() {
    replaceAll(List.of(checkIn(1, 12, 12)), 0);
    change(checkIn(1, 9_999, 13), 100);
    for (int sequence = 13; sequence < 23; sequence++) {
      change(checkIn(1, sequence, sequence + 1), (sequence - 12) * 1_200L);
    }
    assertThat(fleet.find(ID).orElseThrow().entry().sequence(), is(22L));
  }

  // The first entry after a removal was read twice, by this process and another one, and counted as
  // two check-ins.
  @Test
  void entryThatIsReadTwiceDoesNotBringRemovedEndpointBackIntoUse() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    fleet.applyChanges(List.of(), List.of(ID), millis(10));
    change(checkIn(1, 4, 5), 20);
    change(checkIn(1, 4, 5), 30);
    assertThat(usable(40), is(false));
    change(checkIn(1, 5, 6), 1_000);
    assertThat(usable(1_001), is(true));
  }

  // The feed names each row once. A removal that a late check-in follows before the next read is
  // not
  // seen, and the endpoint stays in use until the entry is removed again.
  @Test
  void removalThatLateCheckInHidesEndsUseWithinTwoSeconds() {
    replaceAll(List.of(checkIn(1, 12, 12)), 0);
    change(checkIn(1, 8, 14), 500);
    fleet.removeExpired(millis(2_400));
    assertThat(usable(2_400), is(false));
  }

  private void interruptStoreUntil(long millis) {
    fleet.storeAnswered(0);
    fleet.storeLost();
    fleet.storeAnswered(millis(millis));
  }

  private boolean listedAfterRemoval(long removedMillis, long nowMillis) {
    fleet.applyChanges(List.of(), List.of(ID), millis(removedMillis));
    fleet.removeExpired(millis(nowMillis));
    return fleet.find(ID).isPresent();
  }

  // A process that was cut off kept endpoints in use that had left while it returned.
  @Test
  void removalIsNotPutOffIfTheStoreAnsweredAnotherProcessThroughout() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    interruptStoreUntil(5_000);
    fleet.applyChanges(List.of(), List.of(ID), millis(5_010));
    assertThat(fleet.find(ID).isPresent(), is(true));
    fleet.storeAnsweredElsewhere(60_000, millis(5_200));
    fleet.removeExpired(millis(5_200));
    assertThat(fleet.find(ID).isPresent(), is(false));
  }

  @Test
  void graceEndsWithTheEarliestKnownReturnOfTheStore() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    interruptStoreUntil(5_000);
    fleet.storeAnsweredElsewhere(1_500, millis(5_100));
    assertThat(listedAfterRemoval(5_110, 5_700), is(true));
    assertThat(listedAfterRemoval(5_700, 5_900), is(false));
  }

  // An outage that nobody noticed expires entries as well.
  @Test
  void longTimeWithoutAnyAnswerCountsAsOutage() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    fleet.storeAnswered(0);
    assertThat(fleet.storeSteadyMillis(millis(1_400)), is(1_400L));
    assertThat(fleet.storeSteadyMillis(millis(1_600)), is(0L));
    fleet.storeAnswered(millis(4_000));
    assertThat(fleet.storeSteadyMillis(millis(4_000)), is(0L));
    assertThat(listedAfterRemoval(4_010, 4_500), is(true));
  }

  // An endpoint that left shortly after an outage was used for 2.2 s more.
  @Test
  void removalAfterCheckInThatFollowedTheOutageIsNotPutOff() {
    replaceAll(List.of(checkIn(1, 3, 3)), 0);
    interruptStoreUntil(5_000);
    change(checkIn(1, 4, 5), 6_000);
    assertThat(listedAfterRemoval(6_500, 6_500), is(false));
  }
}
