package io.zinniawood.core.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;

import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.ClaimState;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of service calls, idempotency keys and retries. */
class ServiceRequestTest {
  private static final Option<String> KEY = Option.some("k");

  private final World world = World.small();

  // Guards against a second run when a caller repeats a keyed call while the first one runs.
  @Test
  void secondCallWithTheSameKeyWaitsForTheFirst() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(10);
    world.call("c2", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(200);
    assertThat(answeredRequests(), equalTo(List.of("c1", "c2")));
    world.invariants.checkFinalState();
  }

  // Guards against running a finished call again instead of returning its stored answer.
  @Test
  void laterCallWithTheSameKeyGetsTheStoredAnswer() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(100);
    world.restart("s1");
    world.restart("s2");
    world.run(100);
    world.call("c2", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(200);
    assertThat(answeredRequests(), equalTo(List.of("c1", "c2")));
    world.invariants.checkFinalState();
  }

  // Guards against answering a different request with the stored answer of the key.
  @Test
  void refusesTheKeyOfAnotherRequest() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(100);
    world.call("c2", Idempotency.NON_IDEMPOTENT, Option.some("k/other"));
    world.run(100);
    assertThat(problem("c2").type(), equalTo(ProblemType.KEY_REUSED));
    assertThat(problem("c2").outcome(), equalTo(Outcome.NOT_RUN));
  }

  // Guards against running a keyed call without a claim when the table is down.
  @Test
  void refusesKeyedCallDuringStoreOutage() {
    world.table.unavailable = true;
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.call("c2", Idempotency.NON_IDEMPOTENT, Option.none());
    world.run(200);
    assertThat(problem("c1").type(), equalTo(ProblemType.STORE_UNAVAILABLE));
    assertThat(problem("c1").outcome(), equalTo(Outcome.NOT_RUN));
    assertThat(answeredRequests(), equalTo(List.of("c2")));
  }

  // Guards against giving up a keyed call whose endpoint died before it started, and against a
  // second start without a tombstone.
  @Test
  void retriesLostAttemptElsewhereAfterTombstone() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(2);
    world.crash(firstEndpoint("c1"));
    world.run(1_500);
    assertThat(answeredRequests(), equalTo(List.of("c1")));
    assertThat(world.effects(EntryEffect.ReleaseClaim.class), hasSize(1));
    world.invariants.checkFinalState();
  }

  // Guards against not-run from a restarted agent for an attempt that its earlier incarnation may
  // have started.
  @Test
  void ignoresTheCancelResultOfAnotherIncarnation() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, Option.none());
    EntryEffect.SendToAgent send =
        world.effects(EntryEffect.SendToAgent.class).stream()
            .filter(effect -> effect.message() instanceof Message.Dispatch)
            .findFirst()
            .get();
    Message.Dispatch dispatch = (Message.Dispatch) send.message();
    world.reduce(
        new EntryEvent.AgentMessageReceived(
            send.endpoint(),
            new Incarnation(send.incarnation().value() + 1),
            new Message.CancelResult(
                dispatch.request(), dispatch.attempt(), CancelOutcome.NOT_STARTED)));
    assertThat(world.state.requests().get(dispatch.request()).isDefined(), equalTo(true));
    assertThat(world.effects(EntryEffect.ReplyProblem.class), hasSize(0));
    world.run(200);
    long dispatches =
        world.effects(EntryEffect.SendToAgent.class).stream()
            .filter(effect -> effect.message() instanceof Message.Dispatch)
            .count();
    assertThat(dispatches, equalTo(1L));
    assertThat(answeredRequests(), equalTo(List.of("c1")));
  }

  // Guards against not-run, and against a retry, after a call may have run.
  @Test
  void callThatMayHaveRunEndsUnknown() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.call("c2", Idempotency.NON_IDEMPOTENT, Option.none());
    world.run(20);
    world.restart("s1");
    world.restart("s2");
    world.run(3_000);
    assertThat(problem("c1").outcome(), equalTo(Outcome.UNKNOWN));
    assertThat(problem("c2").outcome(), equalTo(Outcome.UNKNOWN));
    assertThat(answeredRequests(), hasSize(0));
    world.invariants.checkFinalState();
  }

  // Guards against a call that waits until its deadline at an endpoint that never starts it.
  @Test
  void cancelsCallThatDoesNotStartAndRunsItElsewhere() {
    world.agent("s1").stalled = true;
    world.agent("s2").stalled = true;
    world.call("c1", Idempotency.NON_IDEMPOTENT, Option.none());
    world.run(300);
    String first = firstEndpoint("c1");
    world.agent(first.equals("s1") ? "s2" : "s1").stalled = false;
    world.run(700);
    assertThat(answeredRequests(), equalTo(List.of("c1")));
    assertThat(
        world.agent(first).calls.values().iterator().next().state.name(), equalTo("CANCELLED"));
    world.invariants.checkFinalState();
  }

  // Guards against treating a tombstone as conclusive although the attempt has the same fence, and
  // against waiting for an attempt of another request.
  @Test
  void tombstoneWithTheFenceOfTheAttemptIsInconclusive() {
    world.agent("s1").stalled = true;
    world.agent("s2").stalled = true;
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(2);
    world.crash(firstEndpoint("c1"));
    world.run(2);
    EntryEffect.ReleaseClaim release = world.effects(EntryEffect.ReleaseClaim.class).get(0);
    int sent = world.effects(EntryEffect.SendToAgent.class).size();
    answerRelease(release, release.attempt(), release.requestDigest(), ClaimState.RELEASED);
    assertThat(world.effects(EntryEffect.SendToAgent.class), hasSize(sent));
    answerRelease(release, new AttemptId("other"), "other digest", ClaimState.STARTED);
    assertThat(problem("c1").type(), equalTo(ProblemType.KEY_REUSED));
  }

  private void answerRelease(
      EntryEffect.ReleaseClaim release, AttemptId holder, String digest, ClaimState state) {
    ClaimRow row =
        new ClaimRow(
            new EndpointId("s1"),
            new Incarnation(1),
            holder,
            digest,
            state,
            new Fence(0),
            Option.none());
    world.reduce(
        new EntryEvent.ClaimReleaseCompleted(
            release.request(), release.attempt(), new ClaimReleaseResult.Held(row)));
  }

  // Guards against a lost idempotent call when its endpoint dies.
  @Test
  void runsIdempotentCallAgainElsewhere() {
    world.call("c1", Idempotency.IDEMPOTENT, Option.none());
    world.run(20);
    world.crash(firstEndpoint("c1"));
    world.run(500);
    assertThat(answeredRequests(), equalTo(List.of("c1")));
    world.invariants.checkFinalState();
  }

  // Guards against a definite outcome while another call with the key may still run.
  @Test
  void waitingCallEndsWithConflictAtItsDeadline() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(10);
    world.crash(firstEndpoint("c1"));
    world.call("c2", Idempotency.NON_IDEMPOTENT, KEY);
    world.run(3_000);
    assertThat(problem("c2").type(), equalTo(ProblemType.IN_PROGRESS));
    assertThat(problem("c2").outcome(), equalTo(Outcome.UNKNOWN));
    assertThat(problem("c1").outcome(), equalTo(Outcome.UNKNOWN));
    assertThat(
        world.sentMessages(Message.CancelDispatch.class, m -> m.request().value().equals("c2")),
        hasSize(0));
    world.invariants.checkFinalState();
  }

  // Guards against work that continues after its caller disconnected.
  @Test
  void cancelReachesTheAgentWhenTheCallerDisconnects() {
    world.call("c1", Idempotency.NON_IDEMPOTENT, Option.none());
    world.run(2);
    world.reduce(new EntryEvent.CallerDisconnected(new RequestId("c1")));
    world.run(100);
    FakeAgent agent = world.agent(firstEndpoint("c1"));
    assertThat(agent.calls.values().iterator().next().state.name(), equalTo("CANCELLED"));
    world.invariants.checkFinalState();
  }

  private List<String> answeredRequests() {
    return world.effects(EntryEffect.ReplyServiceAnswer.class).stream()
        .map(reply -> reply.request().value())
        .toList();
  }

  private Problem problem(String request) {
    return world.problem(request);
  }

  private String firstEndpoint(String request) {
    return world
        .sentMessages(
            Message.Dispatch.class, dispatch -> dispatch.request().value().equals(request))
        .get(0)
        .endpoint()
        .value();
  }
}
