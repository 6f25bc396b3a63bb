package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PromptPartId;
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

/** Tests what a relay learns from endpoints that crash as they begin to answer. */
final class RelayCrashesTest {
  private static final int ENDPOINTS = 12;
  private static final VmId PEER = new VmId("relay-0");
  private static final NodeAddress PEER_ADDRESS = new NodeAddress("10.0.1.9", 7_340);

  private final RelayHarness relay = new RelayHarness();

  @BeforeEach
  void listEndpoints() {
    List<FleetEndpoint> endpoints = new ArrayList<>();
    for (int number = 0; number < ENDPOINTS; number++) {
      endpoints.add(relay.model("e" + number, 0, RelayHarness.LAYERS));
    }
    relay.list(endpoints.toArray(FleetEndpoint[]::new));
    relay.post(
        new RelayEvent.PresencesRead(
            Map.of(PEER, new PresenceRow(RelayHarness.version(7), Optional.of(PEER_ADDRESS)))));
    relay.advanceMillis(10);
  }

  /** Ends the endpoint of the request's last send, as its engine does when it begins to write. */
  private void crashEndpointOf(RelayRequestId id) {
    List<RelayEffect.Send> sends = relay.sends(id);
    RelayEffect.Send last = sends.get(sends.size() - 1);
    EndpointId endpoint = last.options().expectedEndpoint();
    relay.advanceMillis(100);
    relay.answerReceived(id, last.attempt(), 200);
    relay.attemptFailed(id, last.attempt(), AttemptFailureCause.CONNECTION_LOST);
    relay.post(new RelayEvent.ReportMissing(endpoint));
  }

  private void answerSoundStream(String... parts) {
    RelayRequestId id = relay.stream(parts);
    relay.answerReceived(id, 1, 200);
    relay.advanceMillis(50);
    relay.streamAdvanced(id, 1);
    relay.post(new RelayEvent.AnswerRelayed(id, 1, RelayHarness.EVIDENCE));
  }

  // Guards against requests with one prompt part crashing endpoint after endpoint.
  @Test
  void partUnderWhichEndpointsCrashedIsNotSentToFurtherEndpoints() {
    for (int crash = 0; crash < 5; crash++) {
      RelayRequestId id = relay.stream("opening-" + crash, "deadly");
      if (!relay.sends(id).isEmpty()) {
        crashEndpointOf(id);
      }
      relay.advanceMillis(400);
      answerSoundStream("opening-" + crash);
    }
    RelayRequestId next = relay.stream("opening-1", "deadly");
    assertThat(relay.sends(next), hasSize(0));
    assertThat(relay.localAnswer(next).orElseThrow().status(), is(503));
  }

  // Guards against refusing sound requests that share their beginning with such a request.
  @Test
  void soundRequestsWithTheSameFirstPartAreStillSent() {
    for (int crash = 0; crash < 5; crash++) {
      RelayRequestId id = relay.stream("opening", "deadly");
      if (!relay.sends(id).isEmpty()) {
        crashEndpointOf(id);
      }
      relay.advanceMillis(400);
      answerSoundStream("opening");
    }
    assertThat(relay.sends(relay.stream("opening", "other")), hasSize(1));
  }

  private EndpointId loseConnection(RelayRequestId id) {
    RelayEffect.Send send = relay.sends(id).get(0);
    relay.advanceMillis(100);
    relay.attemptFailed(id, send.attempt(), AttemptFailureCause.CONNECTION_LOST);
    return send.options().expectedEndpoint();
  }

  // A connection that was reset is no crash: the request goes on at once, and its part is not
  // suspected.
  @Test
  void lostConnectionToEndpointThatReportsIsNoCrash() {
    for (int loss = 0; loss < 4; loss++) {
      RelayRequestId id = relay.stream("opening-" + loss, "sound");
      EndpointId endpoint = loseConnection(id);
      relay.post(new RelayEvent.ReportRead(endpoint, new EndpointReport(0, 1, 1, List.of())));
      relay.advanceMillis(50);
      assertThat(relay.sends(id), hasSize(2));
    }
    assertThat(relay.state().heldPromptParts(), is(0));
  }

  // A report that shows a new start of the process proves the crash, although it is an answer.
  @Test
  void endpointThatHasStartedAgainHasCrashed() {
    for (int crash = 0; crash < 2; crash++) {
      EndpointId endpoint = loseConnection(relay.stream("opening-" + crash, "deadly"));
      relay.post(new RelayEvent.ReportRead(endpoint, new EndpointReport(0, 2, 1, List.of())));
      relay.advanceMillis(300);
    }
    assertThat(relay.state().heldPromptParts(), is(1));
  }

  // A request that may have crashed its endpoint must not be sent to the next one at once; it is
  // sent as soon as another request shows that its parts are sound.
  @Test
  void requestCutByCrashWaitsUntilItsPartsAreSound() {
    RelayRequestId id = relay.stream("opening");
    relay.post(new RelayEvent.ReportMissing(loseConnection(id)));
    relay.advanceMillis(300);
    assertThat(relay.sends(id), hasSize(1));
    answerSoundStream("opening");
    relay.advanceMillis(50);
    assertThat(relay.sends(id), hasSize(2));
  }

  // A relay that is cut off finds one endpoint after another silent. Its requests are not the
  // cause,
  // and the other relays must not be told so.
  @Test
  void endpointsThatFallSilentTogetherAreNoEvidence() {
    for (int round = 0; round < 6; round++) {
      RelayRequestId id = relay.stream("opening");
      relay.advanceMillis(300);
      List<RelayEffect.Send> sends = relay.sends(id);
      assertThat("sends in round " + round, sends.isEmpty(), is(false));
      relay.post(
          new RelayEvent.ReportMissing(sends.get(sends.size() - 1).options().expectedEndpoint()));
    }
    assertThat(relay.state().heldPromptParts(), is(0));
  }

  // Sound requests would be refused for minutes after endpoints that were silent for a second.
  @Test
  void silenceOfEndpointThatReportsAgainIsNoEvidenceAgainstItsRequests() {
    for (int silence = 0; silence < 4; silence++) {
      RelayRequestId id = relay.stream("opening-" + silence, "sound");
      assertThat("sends after silence " + silence, relay.sends(id), hasSize(1));
      EndpointId endpoint = relay.sends(id).get(0).options().expectedEndpoint();
      relay.advanceMillis(400);
      relay.post(new RelayEvent.ReportMissing(endpoint));
      relay.advanceMillis(700);
      relay.post(new RelayEvent.ReportRead(endpoint, new EndpointReport(0, 1, 1, List.of())));
      relay.advanceMillis(4_000);
    }
    assertThat(relay.state().heldPromptParts(), is(0));
  }

  // Requests that other relays take for the cause must be refused here as well.
  @Test
  void partThatAnotherRelayHoldsIsNotSent() {
    receive(held());
    assertThat(relay.sends(relay.stream("opening", "deadly")), hasSize(0));
  }

  // Ages in a message that waited while the process was paused are wrong.
  @Test
  void noticeThatWaitedDuringPauseIsIgnored() {
    relay.pauseMillis(5_000);
    receive(held());
    assertThat(relay.state().heldPromptParts(), is(0));
  }

  private static QuarantineNotice held() {
    return new QuarantineNotice(
        List.of(new HeldSubjectNotice(new PromptPartId("deadly"), 2, 0, 500)),
        List.of(),
        List.of());
  }

  private void receive(QuarantineNotice notice) {
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
                notice,
                List.of(),
                LimitNotice.EMPTY,
                LoadNotice.EMPTY),
            PEER_ADDRESS));
  }
}
