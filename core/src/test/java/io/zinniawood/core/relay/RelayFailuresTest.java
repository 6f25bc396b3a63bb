package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.PromptPartId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Decisions that fail, provoked by entries that break the contract of their type. */
final class RelayFailuresTest {
  private final RelayHarness relay = new RelayHarness();

  private FleetEndpoint withoutAccelerator() {
    FleetEndpoint sound = relay.model("x", 0, 10);
    return new FleetEndpoint(
        sound.id(),
        sound.service(),
        sound.address(),
        sound.dataCentre(),
        sound.slots(),
        false,
        null,
        sound.layers(),
        1,
        0,
        sound.rowVersion());
  }

  // A tick that fails midway would leave every request after it without its deadline.
  @Test
  void deadlinesAreKeptWhileAnotherPartOfTheTickFails() {
    relay.list(withoutAccelerator(), relay.plain("p"));
    RelayRequestId id = relay.request("read");
    relay.advanceMillis(1_000);
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(504));
  }

  // A request whose admission fails would get neither an answer nor a refusal.
  @Test
  void requestWhoseAdmissionFailsIsRefused() {
    relay.list(withoutAccelerator());
    RelayRequestId id = relay.request("stream");
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(503));
    assertThat(relay.state().openRequests(), is(0));
  }

  // An error such as a lack of direct memory lost the request and the effects of its event.
  @ParameterizedTest
  @MethodSource("errors")
  void requestWhoseDecisionFailsWithAnErrorEndsWithAnUnknownOutcome(Error error) {
    relay.list(relay.plain("p"));
    RelayRequestId id = relay.request("book");
    RelayTurn turn = new RelayTurn(relay.state(), relay.nowNanos());
    FailureContainment.run(
        turn,
        "decision",
        Optional.of(id),
        () -> {
          throw error;
        });
    assertThat(
        turn.effects(),
        hasItem(new RelayEffect.AnswerLocally(id, LocalAnswer.unknownOutcome("internal-failure"))));
    assertThat(relay.state().openRequests(), is(0));
  }

  private static List<Error> errors() {
    return List.of(
        new OutOfMemoryError("Cannot reserve 4096 bytes of direct buffer memory"),
        new StackOverflowError(),
        new NoClassDefFoundError("x"));
  }

  // A request whose connection failed in the relay ended as if its caller had left.
  @Test
  void requestThatTheRelayFailsEndsTruthfully() {
    RelayRequestId waiting = relay.request("read");
    relay.attemptFailed(waiting, 0, AttemptFailureCause.INTERNAL_FAILURE);
    assertThat(relay.localAnswer(waiting).orElseThrow().status(), is(503));
    relay.list(relay.plain("p"));
    RelayRequestId sent = relay.request("read");
    relay.attemptFailed(sent, 1, AttemptFailureCause.INTERNAL_FAILURE);
    assertThat(relay.localAnswer(sent).orElseThrow().status(), is(502));
    assertThat(relay.effectsOf(RelayEffect.CancelAttempt.class), hasSize(1));
    assertThat(relay.state().openRequests(), is(0));
  }

  // A stream that was given up between its head and its first event had no answer at all.
  @Test
  void streamWithoutAnEventIsAnsweredWhenItsEndpointIsLost() {
    relay.list(relay.model("a", 0, RelayHarness.LAYERS));
    RelayRequestId id = relay.stream();
    relay.answerReceived(id, 1, 200);
    relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
    relay.advanceMillis(2_000);
    assertThat(relay.effectsOf(RelayEffect.AbortAnswer.class), empty());
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
  }

  // A trial without an end kept its subject held until the relay was started again.
  @Test
  void trialWhoseDecisionFailsEnds() {
    relay.list(relay.model("a", 0, RelayHarness.LAYERS));
    RelayRequestId id = relay.stream("part");
    OpenRequest trial = relay.state().open.get(id);
    trial.trialOf = Optional.of(new PromptPartId("part"));
    relay.post(new RelayEvent.AnswerReceived(id, 1, null));
    assertThat(trial.trialOf, is(Optional.empty()));
  }

  // A request that was sent would wait for its deadline, and be promised not to have run.
  @Test
  void requestWhoseAnswerCannotBeHandledEndsOnceWithAnUnknownOutcome() {
    relay.list(relay.plain("p"));
    RelayRequestId id = relay.request("book", Optional.of(RelayHarness.KEY), 800);
    relay.post(new RelayEvent.AnswerReceived(id, 1, null));
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
    assertThat(relay.effectsOf(RelayEffect.CancelAttempt.class), hasSize(1));
    relay.advanceMillis(1_000);
    assertThat(relay.effectsOf(RelayEffect.AnswerLocally.class), hasSize(1));
  }
}
