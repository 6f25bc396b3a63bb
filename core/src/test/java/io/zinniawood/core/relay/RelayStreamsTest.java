package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RelayStreamsTest {
  private final RelayHarness relay = new RelayHarness();

  private List<RelayRequestId> startStreams(int count) {
    List<RelayRequestId> ids = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      RelayRequestId id = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
      relay.answerReceived(id, 1, 200);
      ids.add(id);
    }
    return ids;
  }

  private void advanceAll(List<RelayRequestId> ids, int rounds) {
    for (int round = 0; round < rounds; round++) {
      relay.advanceMillis(20);
      ids.forEach(id -> relay.streamAdvanced(id, 1));
    }
  }

  private boolean uses(RelayRequestId id, String endpoint) {
    return relay.sends(id).get(0).options().path().orElseThrow().contains(new EndpointId(endpoint));
  }

  private List<EndpointId> checked() {
    return relay.effectsOf(RelayEffect.ReadReport.class).stream()
        .map(RelayEffect.ReadReport::endpoint)
        .distinct()
        .toList();
  }

  private void keepAdvancing(List<RelayRequestId> alive, int rounds) {
    for (int round = 0; round < rounds; round++) {
      relay.advanceMillis(20);
      alive.forEach(id -> relay.streamAdvanced(id, 1));
    }
  }

  // Without rerouting, a dead endpoint stalls its streams for the seconds until an engine on their
  // paths reports it.
  @Test
  void streamsAreReroutedAroundEndpointWithoutReport() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10), relay.model("c", 5, 10));
    List<RelayRequestId> ids = startStreams(12);
    advanceAll(ids, 5);
    List<RelayRequestId> dead = ids.stream().filter(id -> uses(id, "b")).toList();
    List<RelayRequestId> alive = ids.stream().filter(id -> uses(id, "c")).toList();
    keepAdvancing(alive, 10);
    assertThat(checked(), is(List.of(new EndpointId("b"))));
    relay.post(new RelayEvent.ReportMissing(new EndpointId("b")));
    List<RelayEffect.Repath> repaths = relay.effectsOf(RelayEffect.Repath.class);
    assertThat(repaths, hasSize(dead.size()));
    for (RelayEffect.Repath repath : repaths) {
      assertThat(repath.path().contains(new EndpointId("b")), is(false));
    }
  }

  // The link to the other data centre carries a prompt in 56 ms. With the limit for new requests,
  // 150 ms, only four of the streams would be rerouted and the others stall until they break off.
  @Test
  void streamsAreReroutedOverBusyLinkWhileCallersWait() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10));
    List<RelayRequestId> ids = startStreams(12);
    advanceAll(ids, 5);
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10), relay.remoteModel("c", 5, 10));
    relay.advanceMillis(400);
    relay.post(new RelayEvent.ReportMissing(new EndpointId("b")));
    assertThat(relay.effectsOf(RelayEffect.Repath.class), hasSize(12));
  }

  // A stream that starts again from its first event repeats all tokens that the caller has, and the
  // caller gives up meanwhile.
  @Test
  void streamWithSilentFirstEndpointResumesAfterLastEvent() {
    relay.list(relay.model("a", 0, 10));
    RelayRequestId id = startStreams(1).get(0);
    relay.list(relay.model("a", 0, 10), relay.model("b", 0, 10));
    relay.post(new RelayEvent.StreamAdvanced(id, 1, 41));
    relay.advanceMillis(600);
    relay.post(new RelayEvent.ReportMissing(new EndpointId("a")));
    assertThat(relay.sends(id), hasSize(2));
    assertThat(relay.sends(id).get(1).options().resumeAfter(), is(41L));
  }

  // A sound endpoint that is silent for a second would lose all streams that cannot run elsewhere.
  @Test
  void streamsAtSilentEndpointGoOnUnlessTheirReplacementIsCertain() {
    int budget = 21;
    for (boolean otherHolder : List.of(false, true)) {
      RelayHarness relay = new RelayHarness();
      FleetEndpoint silent = relay.model("a", 0, 10);
      relay.list(silent);
      List<RelayRequestId> ids = new ArrayList<>();
      for (int index = 0; index < 30; index++) {
        ids.add(relay.request("stream", Optional.of(RelayHarness.KEY), 20_000));
        if (index % 3 > 0) {
          relay.answerReceived(ids.get(index), 1, 200);
          relay.streamAdvanced(ids.get(index), 1);
        }
      }
      if (otherHolder) {
        relay.list(silent, relay.model("b", 0, 10));
      }
      for (int silence = 0; silence < 4; silence++) {
        relay.advanceMillis(450);
        relay.post(new RelayEvent.ReportMissing(silent.id()));
      }
      assertThat(relay.effectsOf(RelayEffect.AbortAnswer.class), empty());
      assertThat(relay.effectsOf(RelayEffect.AnswerLocally.class), empty());
      int replaced = otherHolder ? budget : 0;
      assertThat(relay.effectsOf(RelayEffect.Send.class), hasSize(ids.size() + replaced));
      assertThat(relay.effectsOf(RelayEffect.CancelAttempt.class), hasSize(replaced));
    }
  }

  // The streams beyond the budget would stay at an endpoint that is gone for good.
  @Test
  void streamsAtSilentEndpointAreReplacedOnceCapacityComesFree() {
    FleetEndpoint silent = relay.model("a", 0, 10);
    relay.list(silent);
    List<RelayRequestId> ids = startStreams(5);
    relay.advanceMillis(600);
    relay.post(new RelayEvent.ReportMissing(silent.id()));
    relay.advanceMillis(300);
    relay.list(silent, relay.model("b", 0, 10));
    relay.advanceMillis(100);
    ids.forEach(id -> assertThat(relay.sends(id), hasSize(2)));
  }

  // Streams also stall when the fleet is overloaded. Avoiding endpoints then would remove remaining
  // capacity, and reading prompts again would use up the rest.
  @Test
  void stalledStreamsKeepPathIfEndpointsReport() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10), relay.model("c", 5, 10));
    List<RelayRequestId> ids = startStreams(12);
    advanceAll(ids, 5);
    for (int round = 0; round < 40; round++) {
      relay.advanceMillis(20);
      for (EndpointId id : checked()) {
        relay.post(new RelayEvent.ReportRead(id, new EndpointReport(0, 1, 1, List.of())));
      }
    }
    assertThat(checked(), hasSize(3));
    assertThat(relay.effectsOf(RelayEffect.Repath.class), empty());
    RelayRequestId next = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
    assertThat(relay.sends(next), hasSize(1));
  }

  // The first endpoint of a path may find another one dead that still answers this relay or others.
  @Test
  void streamsAreReroutedAroundEndpointReportedDead() {
    FleetEndpoint dead = relay.model("b", 5, 10);
    relay.list(relay.model("a", 0, 5), dead, relay.model("c", 5, 10));
    List<RelayRequestId> ids = startStreams(12);
    advanceAll(ids, 5);
    List<RelayRequestId> stalled = ids.stream().filter(id -> uses(id, "b")).toList();
    keepAdvancing(ids.stream().filter(id -> uses(id, "c")).toList(), 25);
    relay.post(
        new RelayEvent.ReportRead(
            new EndpointId("a"),
            new EndpointReport(
                0,
                1,
                1,
                List.of(
                    new EndpointReport.StalledRequest(
                        new RequestId("caller-1"), dead.address())))));
    assertThat(relay.effectsOf(RelayEffect.Repath.class), hasSize(stalled.size()));
  }

  // An endpoint that was avoided for a missing report must get requests again once it reports.
  @Test
  void endpointIsUsedAgainAfterReport() {
    relay.list(relay.model("a", 0, 10));
    relay.post(new RelayEvent.ReportMissing(new EndpointId("a")));
    RelayRequestId refused = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
    assertThat(relay.sends(refused), empty());
    relay.advanceMillis(1_000);
    assertThat(checked(), is(List.of(new EndpointId("a"))));
    relay.post(
        new RelayEvent.ReportRead(new EndpointId("a"), new EndpointReport(0, 1, 1, List.of())));
    RelayRequestId next = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
    assertThat(relay.sends(next), hasSize(1));
  }

  // After a pause of this process all reports are late, which is no evidence against an endpoint.
  @Test
  void missingReportAfterPauseDoesNotSuspectEndpoint() {
    relay.list(relay.model("a", 0, 10));
    relay.advanceMillis(20);
    relay.pauseMillis(2_000);
    relay.advanceMillis(20);
    relay.post(new RelayEvent.ReportMissing(new EndpointId("a")));
    RelayRequestId next = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
    assertThat(relay.sends(next), hasSize(1));
  }

  // Streams that make progress must not be rerouted.
  @Test
  void advancingStreamsKeepTheirPath() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 5, 10), relay.model("c", 5, 10));
    List<RelayRequestId> ids = startStreams(12);
    advanceAll(ids, 50);
    assertThat(relay.effectsOf(RelayEffect.Repath.class), empty());
  }

  // After a connection loss the stream resumes at another endpoint, after the caller's last event.
  @Test
  void interruptedStreamResumesAfterLastEvent() {
    relay.list(relay.model("a", 0, 10), relay.model("b", 0, 10));
    RelayRequestId id = startStreams(1).get(0);
    relay.post(new RelayEvent.AttemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST, 17));
    assertThat(relay.sends(id), hasSize(2));
    assertThat(relay.sends(id).get(1).options().resumeAfter(), is(17L));
    assertThat(
        relay.sends(id).get(1).options().expectedEndpoint(),
        org.hamcrest.Matchers.not(relay.sends(id).get(0).options().expectedEndpoint()));
  }

  // A stream that cannot be resumed must be aborted, so that the caller does not take the part
  // that it received for the complete answer.
  @Test
  void streamIsAbortedAfterMaximumAttempts() {
    relay.list(relay.model("a", 0, 10), relay.model("b", 0, 10), relay.model("c", 0, 10));
    RelayRequestId id = startStreams(1).get(0);
    relay.post(new RelayEvent.AttemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST, 3));
    relay.post(new RelayEvent.AttemptFailed(id, 2, AttemptFailureCause.CONNECTION_LOST, 3));
    assertThat(relay.effectsOf(RelayEffect.AbortAnswer.class), hasSize(1));
    assertThat(relay.localAnswer(id), is(Optional.empty()));
  }

  // Guards against streams that are broken off because their repeats, which reached no endpoint,
  // used up the retry budget.
  @Test
  void repeatsThatReachNoEndpointDoNotUseUpTheRetryBudget() {
    relay.list(
        relay.model("a", 0, 10),
        relay.model("b", 0, 10),
        relay.model("c", 0, 10),
        relay.model("d", 0, 10));
    List<RelayRequestId> ids = startStreams(12);
    for (RelayRequestId id : ids) {
      relay.post(new RelayEvent.AttemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST, 3));
    }
    for (int attempt = 2; attempt <= 3; attempt++) {
      for (RelayRequestId id : ids) {
        if (relay.sends(id).size() == attempt) {
          relay.post(new RelayEvent.AttemptFailed(id, attempt, AttemptFailureCause.NOT_SENT, 3));
        }
      }
    }
    assertThat(relay.effectsOf(RelayEffect.AbortAnswer.class), empty());
  }

  // Guards against streams that wait for their deadline at a dead endpoint that is no longer
  // listed.
  @Test
  void streamsAtSilentEndpointGoOnElsewhereOnceItIsRemoved() {
    relay.list(relay.model("a", 0, 10));
    List<RelayRequestId> ids = startStreams(5);
    relay.advanceMillis(600);
    relay.post(new RelayEvent.ReportMissing(new EndpointId("a")));
    relay.list();
    relay.list(relay.model("b", 0, 10));
    relay.advanceMillis(1_000);
    for (RelayRequestId id : ids) {
      assertThat(relay.sends(id), hasSize(2));
    }
  }

  // Guards against streams that are not replaced as older ones have no attempts left.
  @Test
  void streamsWithoutFurtherAttemptsDoNotKeepOthersAtSilentEndpoint() {
    relay.list(relay.model("a", 0, 10));
    List<RelayRequestId> exhausted = startStreams(2);
    FleetEndpoint silent = relay.model("b", 0, 10);
    relay.list(silent);
    for (RelayRequestId id : exhausted) {
      relay.post(new RelayEvent.AttemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST, 3));
      relay.answerReceived(id, 2, 200);
    }
    List<RelayRequestId> others = startStreams(2);
    relay.advanceMillis(400);
    relay.post(new RelayEvent.ReportMissing(new EndpointId("b")));
    relay.list(silent, relay.model("c", 0, 10));
    relay.advanceMillis(100);
    for (RelayRequestId id : others) {
      assertThat(relay.sends(id), hasSize(2));
    }
  }
}
