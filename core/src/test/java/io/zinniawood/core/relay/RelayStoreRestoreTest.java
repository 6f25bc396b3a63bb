package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.RemovedEntry;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a relay whose store comes back from a copy: versions go back and are given out again. */
final class RelayStoreRestoreTest {
  private static final long FORMER = 1;
  private static final long NEW = 2;
  private static final VmId PEER = new VmId("relay-0");
  private static final NodeAddress PEER_ADDRESS = new NodeAddress("10.0.1.9", 7_340);

  private final RelayHarness relay = new RelayHarness();

  static StoreVersion version(long era, long number) {
    return new StoreVersion(new StoreEra(era), number);
  }

  private FleetEndpoint ready(long era, long number) {
    return relay.plain("p").withRowVersion(version(era, number));
  }

  private FleetEndpoint draining(long era, long number) {
    return relay
        .endpoint("p", RelayHarness.PLAIN, Optional.empty(), true)
        .withRowVersion(version(era, number));
  }

  private void list(StoreVersion version, FleetEndpoint... endpoints) {
    relay.post(new RelayEvent.EndpointsListed(List.of(endpoints), version, relay.storeMillis()));
  }

  private void change(StoreVersion after, StoreVersion version, FleetEndpoint... changed) {
    relay.post(
        new RelayEvent.EndpointsChanged(
            List.of(changed), List.of(), after, version, relay.storeMillis()));
  }

  private void receive(SharedRead read) {
    relay.post(
        new RelayEvent.PeerMessageReceived(
            new PeerMessage(
                PEER,
                read.version().era(),
                true,
                0,
                1,
                0,
                Optional.empty(),
                Optional.of(read),
                QuarantineNotice.EMPTY,
                List.of(),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            PEER_ADDRESS));
  }

  private SharedRead read(StoreVersion after, StoreVersion version, FleetEndpoint... changed) {
    return new SharedRead(
        after, version, relay.storeMillis(), List.of(changed), List.of(), List.of());
  }

  private boolean used() {
    return !relay.sends(relay.request("book")).isEmpty();
  }

  @BeforeEach
  void listInFormerEra() {
    list(version(FORMER, 100), ready(FORMER, 90));
    relay.post(
        new RelayEvent.PresencesRead(
            Map.of(PEER, new PresenceRow(version(FORMER, 7), Optional.of(PEER_ADDRESS)))));
  }

  // A draining endpoint got requests until the versions had risen past those of the former era.
  @Test
  void drainingEntryWithLowerVersionOfNewEraStopsRequests() {
    list(version(NEW, 50), draining(NEW, 40));
    assertThat(used(), is(false));
  }

  // The row of the copy is from before the endpoint began to leave.
  @Test
  void rowOfCopyDoesNotBringBackDrainingEndpoint() {
    change(version(FORMER, 100), version(FORMER, 110), draining(FORMER, 105));
    list(version(NEW, 50), ready(NEW, 40));
    assertThat(used(), is(false));
    change(version(NEW, 50), version(NEW, 60), ready(NEW, 55));
    assertThat("used once it has written in the new era", used(), is(true));
  }

  // The copy still holds the row of an endpoint that this relay knows as gone.
  @Test
  void rowOfCopyDoesNotBringBackRemovedEndpoint() {
    relay.post(
        new RelayEvent.EndpointsChanged(
            List.of(),
            List.of(new RemovedEntry(ready(FORMER, 90).id(), version(FORMER, 105))),
            version(FORMER, 100),
            version(FORMER, 110),
            relay.storeMillis()));
    list(version(NEW, 50), ready(NEW, 40));
    assertThat(used(), is(false));
    change(version(NEW, 50), version(NEW, 60), ready(NEW, 55));
    assertThat("used once it has written in the new era", used(), is(true));
  }

  // An endpoint that refused as another one stayed refused only by a comparison of two eras.
  @Test
  void refutedEntryStaysRefutedUntilWrittenInNewEra() {
    relay.state().fleet.find(ready(FORMER, 90).id()).orElseThrow().entryRefuted();
    list(version(NEW, 150), ready(NEW, 140));
    assertThat(used(), is(false));
    change(version(NEW, 150), version(NEW, 160), ready(NEW, 155));
    assertThat(used(), is(true));
  }

  // Rows that were written in the lost seconds are written again within two seconds.
  @Test
  void endpointMissingInCopyIsUsedForReappearanceGrace() {
    list(version(NEW, 50));
    assertThat(used(), is(true));
    relay.advanceMillis(2_300);
    assertThat(used(), is(false));
  }

  // After versions rose past the known one, a feed from there misses what changed below it.
  @Test
  void changesAfterVersionOfFormerEraLeadToWholeRead() {
    relay.advanceMillis(600);
    change(version(FORMER, 100), version(NEW, 130));
    relay.advanceMillis(50);
    assertThat(relay.effectsOf(RelayEffect.ListEndpoints.class), hasSize(1));
    assertThat(
        relay.effectsOf(RelayEffect.AwaitRoutes.class).size()
            + relay.effectsOf(RelayEffect.ReadRoutes.class).size(),
        is(1));
  }

  // An answer that was under way when the store came back must not undo the new state.
  @Test
  void lateAnswerOfFormerEraIsIgnored() {
    list(version(NEW, 50), draining(NEW, 40));
    change(version(FORMER, 100), version(FORMER, 200), ready(FORMER, 190));
    list(version(FORMER, 200), ready(FORMER, 190));
    assertThat(used(), is(false));
    relay.advanceMillis(600);
    assertThat(
        relay.lastEffect(RelayEffect.ReadEndpointChanges.class).afterVersion(),
        is(version(NEW, 50)));
  }

  // A store whose era went down for good, as after it was replaced, must not be ignored for ever.
  @Test
  void lowerEraIsTakenOverAfterSomeTime() {
    list(version(NEW, 50), ready(NEW, 40));
    for (int read = 0; read < 10; read++) {
      list(version(FORMER, 200), draining(FORMER, 190));
      relay.advanceMillis(500);
    }
    assertThat(used(), is(false));
  }

  // Versions of the reader's era mean another state in this relay's era, in both directions.
  @Test
  void readOfRelayInAnotherEraIsNotMixedWithOwnState() {
    receive(read(version(NEW, 100), version(NEW, 120), draining(NEW, 110)));
    assertThat(used(), is(true));
    relay.advanceMillis(50);
    assertThat(
        "reads for itself", relay.effectsOf(RelayEffect.ReadEndpointChanges.class), hasSize(1));
    list(version(NEW, 50), draining(NEW, 40));
    receive(read(version(FORMER, 40), version(FORMER, 120), ready(FORMER, 110)));
    assertThat(used(), is(false));
  }

  // A route that was added in the new era below the known version was never served.
  @Test
  void routesAreReadWholeInNewEra() {
    relay.post(new RelayEvent.RoutesAnswered(Optional.empty(), version(FORMER, 100)));
    relay.advanceMillis(50);
    relay.post(new RelayEvent.RoutesAnswered(Optional.empty(), version(NEW, 120)));
    relay.advanceMillis(50);
    assertThat(relay.effectsOf(RelayEffect.ReadRoutes.class), hasSize(1));
    relay.post(
        new RelayEvent.RoutesAnswered(Optional.of(RelayHarness.routes(9)), version(NEW, 121)));
    assertThat(relay.state().routesVersion(), is(9L));
  }

  // The newest configuration stays in force while the store shows an older one.
  @Test
  void olderConfigurationOfCopyIsNotApplied() {
    relay.post(
        new RelayEvent.RoutesAnswered(Optional.of(RelayHarness.routes(9)), version(FORMER, 100)));
    relay.post(
        new RelayEvent.RoutesAnswered(Optional.of(RelayHarness.routes(7)), version(NEW, 120)));
    assertThat(relay.state().routesVersion(), is(9L));
  }

  // With the former clock, all shared reads would look old, and each relay would read for itself.
  @Test
  void sharedReadsCountAsFreshAlthoughClockOfCopyIsBehind() {
    long behindMillis = 10_000;
    relay.post(
        new RelayEvent.EndpointsListed(
            List.of(ready(NEW, 40)), version(NEW, 50), relay.storeMillis() - behindMillis));
    for (long number = 50; number < 90; number += 10) {
      receive(
          new SharedRead(
              version(NEW, number),
              version(NEW, number + 10),
              relay.storeMillis() - behindMillis,
              List.of(),
              List.of(),
              List.of()));
      relay.advanceMillis(250);
    }
    assertThat(relay.effectsOf(RelayEffect.ReadEndpointChanges.class), empty());
  }
}
