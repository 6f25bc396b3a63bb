package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.zinniawood.core.model.LayerRange;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RelayOutcomesTest {
  private final RelayHarness relay = new RelayHarness();

  // A call that may have run must not run again, and must not be said not to have run.
  @Test
  void lostAnswerOfNonIdempotentCallIsUnknownAndNotSentAgain() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("book");
    relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
    assertThat(relay.sends(id), hasSize(1));
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
  }

  // A call that certainly did not run goes to another endpoint.
  @Test
  void unsentNonIdempotentCallGoesElsewhere() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("book");
    relay.attemptFailed(id, 1, AttemptFailureCause.NOT_SENT);
    assertThat(relay.sends(id), hasSize(2));
    assertThat(relay.sends(id).get(1).address(), not(relay.sends(id).get(0).address()));
  }

  // A kept connection may be closing; its loss would leave the outcome of the call unknown.
  @Test
  void nonIdempotentCallsUseFreshConnections() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    assertThat(relay.sends(id).get(0).options().connection(), is(SendOptions.ConnectionUse.FRESH));
  }

  // A refusal promises that the request has not run, with a time to come back.
  @Test
  void refusedCallIsToldWhenToComeBack() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.notRun(id, 1);
    LocalAnswer answer = relay.localAnswer(id).orElseThrow();
    assertThat(answer.status(), is(503));
    assertThat(answer.retryAfterMillis().orElseThrow(), greaterThan(0L));
  }

  // A failure of an idempotent call is tried once more elsewhere, then passed on as it is.
  @Test
  void failedIdempotentCallIsTriedOnceMore() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("read");
    relay.answerReceived(id, 1, 500);
    assertThat(relay.sends(id), hasSize(2));
    relay.answerReceived(id, 2, 500);
    assertThat(relay.sends(id), hasSize(2));
    assertThat(relay.lastEffect(RelayEffect.RelayAnswer.class).attempt(), is(2));
  }

  // Repeats of all relays together must stay within the platform's budget.
  @Test
  void repeatsAreBoundedByTheBudget() {
    relay.list(relay.plain("a"), relay.plain("b"));
    for (int count = 0; count < 200; count++) {
      RelayRequestId id = relay.request("read");
      relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
      relay.attemptFailed(id, 2, AttemptFailureCause.CONNECTION_LOST);
    }
    int repeats = relay.effectsOf(RelayEffect.Send.class).size() - 200;
    assertThat(repeats <= 0.15 * 200 + 16, is(true));
  }

  // A repeat after a signed failure counts like any other; without budget the failure is passed on.
  @Test
  void repeatsOfFailedCallsAreBoundedByTheBudget() {
    relay.list(relay.plain("a"), relay.plain("b"));
    for (int count = 0; count < 200; count++) {
      RelayRequestId id = relay.request("read");
      relay.answerReceived(id, 1, 500);
      if (relay.sends(id).size() > 1) {
        relay.answerReceived(id, 2, 500);
      }
      RelayEffect.RelayAnswer passedOn = relay.lastEffect(RelayEffect.RelayAnswer.class);
      assertThat(passedOn.id(), is(id));
      relay.post(new RelayEvent.AnswerRelayed(id, passedOn.attempt()));
    }
    int repeats = relay.effectsOf(RelayEffect.Send.class).size() - 200;
    assertThat(repeats <= 0.15 * 200 + 16, is(true));
  }

  // An answer that an endpoint did not sign may be of another request.
  @Test
  void unsignedSuccessIsNotPassedOn() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.post(
        new RelayEvent.AnswerReceived(
            id, 1, new AnswerSummary(200, false, false, Optional.empty())));
    assertThat(relay.effectsOf(RelayEffect.RelayAnswer.class), empty());
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
  }

  // A caller that waits beyond its time gets its answer at once, and the endpoint stops.
  @Test
  void callIsEndedAtTheTimeoutOfItsRoute() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.advanceMillis(900);
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(504));
    assertThat(relay.effectsOf(RelayEffect.CancelAttempt.class), hasSize(1));
  }

  // Work for a caller that has left is wasted.
  @Test
  void attemptIsCancelledWhenTheCallerLeaves() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("read");
    relay.post(new RelayEvent.CallerDisconnected(id));
    assertThat(relay.lastEffect(RelayEffect.CancelAttempt.class).id(), is(id));
    assertThat(relay.state().openRequests(), is(0));
  }

  // A key that was taken away must not open a route again.
  @Test
  void revokedKeyIsRefusedAndOlderVersionsAreIgnored() {
    relay.list(relay.plain("a"));
    relay.post(new RelayEvent.RoutesRead(RelayHarness.routes(3, Map.of())));
    relay.post(new RelayEvent.RoutesRead(RelayHarness.routes(2)));
    RelayRequestId id = relay.request("read");
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(401));
  }

  // A request that nothing can serve is refused at once, not at its deadline.
  @Test
  void requestWithoutAnEndpointIsRefusedAtOnce() {
    relay.list(relay.model("a", 0, 5));
    RelayRequestId id = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(503));
  }

  // A draining endpoint must get no new work.
  @Test
  void drainingEndpointGetsNoRequest() {
    relay.list(relay.endpoint("a", RelayHarness.PLAIN, Optional.empty(), true), relay.plain("b"));
    for (int count = 0; count < 10; count++) {
      RelayRequestId id = relay.request("read");
      assertThat(relay.sends(id).get(0).options().expectedEndpoint().value(), is("b"));
      relay.answerReceived(id, 1, 200);
      relay.post(new RelayEvent.AnswerRelayed(id, 1));
    }
  }

  // Layers of a model that are placed twice in a path would make a wrong token.
  @Test
  void streamsAreSentAlongWholePaths() {
    relay.list(relay.model("a", 0, 5), relay.model("b", 4, 10));
    RelayRequestId id = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
    assertThat(
        relay.sends(id).get(0).options().path().orElseThrow().parts().get(1).layers(),
        is(
            new LayerRange(
                relay
                    .sends(id)
                    .get(0)
                    .options()
                    .path()
                    .orElseThrow()
                    .first()
                    .layers()
                    .toLayerExclusive(),
                10)));
  }
}
