package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.quarantine.HeldSubjectNotice;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a relay learns from requests under which one endpoint after the other crashes. */
final class RelayCrashingRequestsTest {
  private static final int ENDPOINTS = 12;
  private static final int REPEATS = 8;

  /** Crashes by one request until it must be known. */
  private static final int MAX_CRASHES = 3;

  private static final VmId PEER = new VmId("relay-0");
  private static final NodeAddress PEER_ADDRESS = new NodeAddress("10.0.1.9", 7_340);
  private static final Optional<ClientAccountId> ACCOUNT =
      Optional.of(new ClientAccountId("account"));

  private final RelayHarness relay = new RelayHarness();

  @BeforeEach
  void listEndpoints() {
    List<FleetEndpoint> endpoints = new ArrayList<>();
    for (int number = 0; number < ENDPOINTS; number++) {
      endpoints.add(relay.model("m" + number, 0, RelayHarness.LAYERS));
      endpoints.add(relay.plain("p" + number));
    }
    relay.list(endpoints.toArray(FleetEndpoint[]::new));
    relay.post(
        new RelayEvent.PresencesRead(
            Map.of(PEER, new PresenceRow(RelayHarness.version(7), Optional.of(PEER_ADDRESS)))));
    relay.advanceMillis(10);
  }

  /** Ends the endpoints of a request's sends until the relay sends it no more; returns how many. */
  private int crashEndpointsOf(RelayRequestId id) {
    int crashes = 0;
    while (relay.sends(id).size() > crashes) {
      RelayEffect.Send send = relay.sends(id).get(crashes);
      crashes++;
      relay.advanceMillis(20);
      relay.attemptFailed(id, send.attempt(), AttemptFailureCause.CONNECTION_LOST);
      relay.post(new RelayEvent.ReportMissing(send.options().expectedEndpoint()));
      relay.advanceMillis(1_200);
    }
    return crashes;
  }

  private int crashesByRepeats(String route, String... sharedParts) {
    int crashes = 0;
    for (int repeat = 0; repeat < REPEATS; repeat++) {
      crashes += crashEndpointsOf(relay.repeatable(route, "deadly", sharedParts));
      relay.advanceMillis(500);
    }
    return crashes;
  }

  // Guards against a request of a plain service that its caller repeats and that crashes endpoint
  // after endpoint.
  @Test
  void repeatsOfPlainRequestThatCrashesEndpointsAreNotSent() {
    assertThat(crashesByRepeats("long-book"), lessThanOrEqualTo(MAX_CRASHES));
    RelayRequestId next = relay.repeatable("long-book", "deadly");
    assertThat(relay.sends(next), hasSize(0));
    LocalAnswer answer = relay.localAnswer(next).orElseThrow();
    assertThat(answer.status(), is(503));
    assertThat(answer.retryAfterMillis().orElse(0), greaterThan(20_000L));
  }

  // Guards against the same for a request whose prompt shares no part with others.
  @Test
  void repeatsOfStreamWithoutSharedPartsThatCrashesEndpointsAreNotSent() {
    assertThat(crashesByRepeats("stream"), lessThanOrEqualTo(MAX_CRASHES));
    assertThat(relay.sends(relay.repeatable("stream", "deadly")), hasSize(0));
  }

  // Guards against refusing sound requests that share caller, route and part with such a request.
  @Test
  void soundRequestsThatShareThePartOfCrashingRequestAreStillSent() {
    crashesByRepeats("stream", "opening", "subject");
    assertThat(relay.state().heldPromptParts(), is(0));
    assertThat(relay.sends(relay.repeatable("stream", "sound", "opening", "subject")), hasSize(1));
  }

  // Guards against a cause that only this relay knows.
  @Test
  void requestThatAnotherRelayHoldsIsNotSent() {
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
                new QuarantineNotice(
                    List.of(
                        new HeldSubjectNotice(
                            RelayHarness.fingerprint(ACCOUNT, "deadly"), 3, 0, 100)),
                    List.of(),
                    List.of()),
                List.of(),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            PEER_ADDRESS));
    assertThat(relay.sends(relay.repeatable("long-read", "deadly")), hasSize(0));
    assertThat(relay.sends(relay.repeatable("long-read", "sound")), hasSize(1));
  }

  // Guards against holding a request back that was at crashes by chance and is served in between.
  @Test
  void requestThatIsAnsweredBetweenCrashesIsNotHeld() {
    for (int round = 0; round < REPEATS; round++) {
      RelayRequestId cut = relay.repeatable("long-book", "sound");
      assertThat("round " + round, crashEndpointsOf(cut), is(1));
      RelayRequestId answered = relay.repeatable("long-book", "sound");
      relay.answerReceived(answered, 1, 200);
      relay.post(new RelayEvent.AnswerRelayed(answered, 1, RelayHarness.EVIDENCE));
    }
    assertThat(relay.state().heldRequests(), is(0));
  }

  // Guards against taking reset connections for crashes: a plain endpoint that answers is alive.
  @Test
  void requestWhoseConnectionsAreResetByLiveEndpointsIsNotHeld() {
    for (int round = 0; round < REPEATS; round++) {
      RelayRequestId id = relay.repeatable("long-book", "sound");
      RelayEffect.Send send = relay.sends(id).get(0);
      EndpointId endpoint = send.options().expectedEndpoint();
      relay.advanceMillis(20);
      relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
      relay.post(new RelayEvent.ReportRefused(endpoint));
      relay.advanceMillis(1_200);
    }
    assertThat(relay.state().heldRequests(), is(0));
  }

  // Guards against a request that is lost for good: one trial in the fleet shows that it is sound.
  @Test
  void heldRequestIsTriedAgainOnceAndReleasedIfItIsAnswered() {
    RelayHarness alone = new RelayHarness();
    alone.list(alone.plain("p0"), alone.plain("p1"), alone.plain("p2"), alone.plain("p3"));
    for (int crash = 0; crash < 2; crash++) {
      RelayRequestId id = alone.repeatable("long-book", "deadly");
      alone.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
      alone.post(new RelayEvent.ReportMissing(alone.sends(id).get(0).options().expectedEndpoint()));
      alone.advanceMillis(500);
    }
    assertThat(alone.state().heldRequests(), is(1));
    alone.advanceMillis(31_000);
    RelayRequestId trial = alone.repeatable("long-book", "deadly");
    assertThat(alone.sends(trial), hasSize(1));
    assertThat(alone.sends(alone.repeatable("long-book", "deadly")), hasSize(0));
    alone.answerReceived(trial, 1, 200);
    assertThat(alone.state().heldRequests(), is(0));
  }

  /** Ends the endpoint of a request's last send. */
  private EndpointId crashEndpointOf(RelayRequestId id) {
    List<RelayEffect.Send> sends = relay.sends(id);
    RelayEffect.Send send = sends.get(sends.size() - 1);
    relay.attemptFailed(id, send.attempt(), AttemptFailureCause.CONNECTION_LOST);
    return send.options().expectedEndpoint();
  }

  // Guards against sending a request once more that was at an earlier crash, before it is known
  // whether its endpoint has crashed again.
  @Test
  void requestThatWasAtAnEarlierCrashIsNotSentBeforeTheNextCrashIsDecided() {
    RelayRequestId first = relay.repeatable("long-book", "deadly");
    relay.post(new RelayEvent.ReportMissing(crashEndpointOf(first)));
    relay.advanceMillis(1_000);
    RelayRequestId next = relay.repeatable("long-read", "deadly");
    relay.advanceMillis(20);
    EndpointId endpoint = crashEndpointOf(next);
    relay.advanceMillis(10);
    relay.post(new RelayEvent.ReportMissing(endpoint));
    relay.advanceMillis(1_000);
    assertThat(relay.sends(next), hasSize(1));
    assertThat(relay.state().heldRequests(), is(1));
  }

  // Guards against taking the send after a crash for one before it, as connections are lost one
  // after the other.
  @Test
  void requestIsHeldAfterThreeCrashesThoughOthersLoseTheirConnectionsFirst() {
    RelayRequestId second = relay.repeatable("long-read", "deadly");
    RelayRequestId third = relay.repeatable("long-read", "deadly");
    relay.post(new RelayEvent.ReportMissing(crashEndpointOf(second)));
    EndpointId last = relay.sends(second).get(1).options().expectedEndpoint();
    relay.post(new RelayEvent.ReportMissing(crashEndpointOf(third)));
    List<RelayRequestId> others = new ArrayList<>();
    while (others.isEmpty()
        || !last.equals(
            relay.sends(others.get(others.size() - 1)).get(0).options().expectedEndpoint())) {
      others.add(relay.repeatable("long-book", "sound" + others.size()));
    }
    relay.advanceMillis(80);
    crashEndpointOf(others.get(others.size() - 1));
    relay.pauseMillis(2);
    relay.post(new RelayEvent.ReportMissing(crashEndpointOf(second)));
    assertThat(relay.state().heldRequests(), is(1));
  }

  // Guards against forgetting a crash whose check falls into a pause of this process.
  @Test
  void crashDuringPauseOfThisProcessIsCheckedAgain() {
    for (int crash = 0; crash < 2; crash++) {
      RelayRequestId id = relay.repeatable("long-book", "deadly");
      relay.tickAfterMillis(300);
      EndpointId endpoint = crashEndpointOf(id);
      relay.post(new RelayEvent.ReportMissing(endpoint));
      long checks = checksOf(endpoint);
      relay.advanceMillis(400);
      if (checksOf(endpoint) > checks) {
        relay.post(new RelayEvent.ReportMissing(endpoint));
      }
    }
    assertThat(relay.state().heldRequests(), is(1));
  }

  private long checksOf(EndpointId endpoint) {
    return relay.effectsOf(RelayEffect.ReadReport.class).stream()
        .filter(read -> read.endpoint().equals(endpoint))
        .count();
  }

  // Guards against one trial after the other of a held request if their outcome stays unknown.
  @Test
  void trialWithoutKnownOutcomeIsNotRepeatedAtOnce() {
    RelayHarness alone = new RelayHarness();
    alone.list(alone.plain("p0"), alone.plain("p1"), alone.plain("p2"), alone.plain("p3"));
    for (int crash = 0; crash < 2; crash++) {
      RelayRequestId id = alone.repeatable("long-book", "deadly");
      alone.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
      alone.post(new RelayEvent.ReportMissing(alone.sends(id).get(0).options().expectedEndpoint()));
      alone.advanceMillis(500);
    }
    alone.advanceMillis(31_000);
    RelayRequestId trial = alone.repeatable("long-book", "deadly");
    alone.post(new RelayEvent.CallerDisconnected(trial));
    assertThat(alone.sends(trial), hasSize(1));
    alone.advanceMillis(3_000);
    assertThat(alone.sends(alone.repeatable("long-book", "deadly")), hasSize(0));
    alone.advanceMillis(30_000);
    assertThat(alone.sends(alone.repeatable("long-book", "deadly")), hasSize(1));
  }
}
