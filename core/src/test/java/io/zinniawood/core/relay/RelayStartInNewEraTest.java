package io.zinniawood.core.relay;

import static io.zinniawood.core.relay.RelayStoreRestoreTest.version;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests a relay that starts while the store shows an older configuration than the others apply. */
final class RelayStartInNewEraTest {
  private static final VmId PEER = new VmId("relay-0");
  private static final NodeAddress PEER_ADDRESS = new NodeAddress("10.0.1.9", 7_340);
  private static final long ERA = 1;

  private final RelayHarness relay = new RelayHarness(version(ERA, 20));

  private void startBesidePeer() {
    relay.post(
        new RelayEvent.EndpointsListed(
            List.of(relay.plain("p").withRowVersion(version(ERA, 10))),
            version(ERA, 20),
            relay.storeMillis()));
    relay.post(
        new RelayEvent.PresencesRead(
            Map.of(PEER, new PresenceRow(version(ERA, 7), Optional.of(PEER_ADDRESS)))));
  }

  private void peerApplies(long routesVersion) {
    relay.post(
        new RelayEvent.PeerMessageReceived(
            new PeerMessage(
                PEER,
                version(ERA, 0).era(),
                true,
                0,
                routesVersion,
                0,
                Optional.empty(),
                Optional.empty(),
                QuarantineNotice.EMPTY,
                List.of(),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            PEER_ADDRESS));
    relay.advanceMillis(250);
  }

  private boolean ready() {
    return relay.state().ready;
  }

  // A route or key that was dropped before the restore must not be served again.
  @Test
  void startingRelayDoesNotServeOlderConfigurationThanOthersApply() {
    startBesidePeer();
    for (int message = 0; message < 8; message++) {
      peerApplies(3);
    }
    assertThat(ready(), is(false));
    assertThat(relay.localAnswer(relay.request("book")).orElseThrow().status(), is(503));
    assertThat(
        "reads while the store shows the older one",
        relay.effectsOf(RelayEffect.ReadRoutes.class).size()
            + relay.effectsOf(RelayEffect.AwaitRoutes.class).size(),
        lessThan(12));
    relay.post(
        new RelayEvent.RoutesAnswered(Optional.of(RelayHarness.routes(3)), version(ERA, 30)));
    assertThat(ready(), is(true));
    assertThat(relay.state().routesVersion(), is(3L));
  }

  // Without others, or with others that know nothing newer, a start must not be held up.
  @Test
  void startIsNotHeldUpWithoutNewerConfiguration() {
    startBesidePeer();
    peerApplies(1);
    assertThat(ready(), is(true));
  }

  // The rows of relays that are gone stay in the store.
  @Test
  void startDoesNotWaitForRelaysThatAreGone() {
    startBesidePeer();
    relay.advanceMillis(600);
    assertThat(ready(), is(true));
  }

  // The operator may have written an older version for good, or the others may be gone.
  @Test
  void olderConfigurationIsServedWhenNewerOneIsNotWrittenAgain() {
    startBesidePeer();
    for (int message = 0; message < 41; message++) {
      peerApplies(3);
    }
    assertThat(ready(), is(true));
  }

  @Test
  void olderConfigurationIsServedWhenOthersFellSilent() {
    startBesidePeer();
    peerApplies(3);
    relay.advanceMillis(2_000);
    assertThat(ready(), is(true));
  }
}
