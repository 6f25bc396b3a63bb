package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.vavr.control.Option;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests endpoints that say in an answer that they are leaving. */
final class RelayLeavingTest {
  private static final VmId PEER = new VmId("relay-0");
  private static final NodeAddress PEER_ADDRESS = new NodeAddress("10.0.1.9", 7_340);
  private static final EndpointStatement LEAVING =
      new EndpointStatement(true, OptionalLong.empty(), StatedLimit.NONE, Optional.empty());

  private final RelayHarness relay = new RelayHarness();
  private final FleetEndpoint endpoint = relay.plain("a");

  private static EndpointIncarnation start(String id, long startedMillis) {
    return new EndpointIncarnation(new EndpointId(id), startedMillis);
  }

  private void leaves(String id, long startedMillis) {
    relay.post(new RelayEvent.EndpointStated(start(id, startedMillis), LEAVING));
  }

  private void peerSays(EndpointIncarnation... leaving) {
    relay.post(
        new RelayEvent.PeerMessageReceived(
            new PeerMessage(
                PEER,
                StoreEra.UNNAMED,
                true,
                0,
                1,
                0,
                Optional.empty(),
                Optional.empty(),
                QuarantineNotice.EMPTY,
                List.of(leaving),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            PEER_ADDRESS));
  }

  private void knowPeer() {
    relay.post(
        new RelayEvent.PresencesRead(
            Map.of(PEER, new PresenceRow(RelayHarness.version(7), Optional.of(PEER_ADDRESS)))));
    peerSays();
  }

  private boolean used() {
    return !relay.sends(relay.request("read")).isEmpty();
  }

  // Guards against requests for an endpoint that exits soon; what runs there must go on.
  @Test
  void leavingEndpointGetsNothingNewAndKeepsWhatItRuns() {
    relay.list(endpoint);
    RelayRequestId running = relay.request("read");
    leaves("a", 1);
    assertThat(used(), is(false));
    assertThat(relay.effectsOf(RelayEffect.CancelAttempt.class), empty());
    relay.answerReceived(running, 1, 200);
    assertThat(relay.effectsOf(RelayEffect.RelayAnswer.class), hasSize(1));
  }

  // Guards against a mark that is forgotten: only a new process ends it.
  @Test
  void onlyNewStartEndsLeaving() {
    relay.list(endpoint);
    leaves("a", 1);
    relay.advanceMillis(60_000);
    relay.list(endpoint.withRowVersion(RelayHarness.version(500)));
    assertThat("heartbeat", used(), is(false));
    relay.post(new RelayEvent.EndpointsReadFailed(StoreReadFailure.UNAVAILABLE));
    relay.post(new RelayEvent.EndpointsReadFailed(StoreReadFailure.UNAVAILABLE));
    relay.list();
    relay.advanceMillis(5_000);
    relay.list();
    assertThat(relay.state().endpoints(), is(0));
    relay.list(endpoint.withRowVersion(RelayHarness.version(600)));
    assertThat("reappearance", used(), is(false));
    relay.list(RelayHarness.restarted(endpoint, 2, RelayHarness.version(700)));
    assertThat("restart", used(), is(true));
    leaves("a", 1);
    assertThat("late answer of the earlier process", used(), is(true));
  }

  // Guards against an older row that shows the process before the one that leaves.
  @Test
  void earlierStartDoesNotEndLeaving() {
    relay.list(RelayHarness.restarted(endpoint, 5, RelayHarness.version(900)));
    leaves("a", 5);
    relay.list(RelayHarness.restarted(endpoint, 4, RelayHarness.version(901)));
    assertThat(used(), is(false));
  }

  // Guards against relays that learn of a leaving endpoint only from their own callers' requests.
  @Test
  void otherRelaysAreToldAtOnceAndRepeatedly() {
    relay.list(endpoint);
    knowPeer();
    int before = relay.effectsOf(RelayEffect.SendToPeers.class).size();
    leaves("a", 1);
    assertThat(relay.effectsOf(RelayEffect.SendToPeers.class), hasSize(before + 1));
    relay.advanceMillis(2_000);
    List<RelayEffect.SendToPeers> messages = relay.effectsOf(RelayEffect.SendToPeers.class);
    long naming =
        messages.subList(before, messages.size()).stream()
            .filter(sent -> sent.message().leaving().equals(List.of(start("a", 1))))
            .count();
    assertThat(naming >= 3, is(true));
  }

  @Test
  void noticeOfOtherRelayCountsEvenBeforeTheEndpointIsListed() {
    relay.list(relay.plain("b"));
    knowPeer();
    peerSays(start("a", 1), start("b", 1));
    relay.list(endpoint);
    assertThat(used(), is(false));
  }

  // Guards against a message that does not fit into a packet when half of a fleet leaves.
  @Test
  void manyLeavingEndpointsAreToldInTurn() {
    FleetEndpoint[] many = new FleetEndpoint[200];
    for (int index = 0; index < many.length; index++) {
      many[index] = relay.plain("endpoint-" + index);
    }
    relay.list(many);
    knowPeer();
    for (FleetEndpoint each : many) {
      leaves(each.id().value(), 1);
    }
    int before = relay.effectsOf(RelayEffect.SendToPeers.class).size();
    Set<EndpointIncarnation> told = new HashSet<>();
    for (int message = 0; message < 10; message++) {
      peerSays();
      relay.advanceMillis(250);
    }
    List<RelayEffect.SendToPeers> messages = relay.effectsOf(RelayEffect.SendToPeers.class);
    for (RelayEffect.SendToPeers sent : messages.subList(before, messages.size())) {
      assertThat(sent.message().leaving().size(), lessThan(50));
      told.addAll(sent.message().leaving());
    }
    assertThat(told, hasSize(many.length));
  }

  // Guards against layers that are loaded into an endpoint that exits soon.
  @Test
  void leavingEndpointGetsNoOrder() {
    relay.list(relay.empty("a"), relay.empty("b"));
    leaves("a", 1);
    relay.post(new RelayEvent.LeaseRead(Option.none(), RelayHarness.version(0)));
    RelayEffect.WriteLease write = relay.lastEffect(RelayEffect.WriteLease.class);
    relay.post(new RelayEvent.LeaseRead(Option.some(write.row()), RelayHarness.version(5)));
    relay.advanceMillis(3_000);
    List<EndpointId> ordered =
        relay.effectsOf(RelayEffect.Order.class).stream()
            .map(effect -> effect.order().endpoint())
            .toList();
    assertThat(ordered, is(List.of(new EndpointId("b"))));
  }
}
