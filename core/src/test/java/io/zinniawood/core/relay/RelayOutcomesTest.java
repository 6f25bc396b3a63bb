package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.model.LayerRange;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RelayOutcomesTest {
  private final RelayHarness relay = new RelayHarness();

  // A non-idempotent call that may have run must not be retried, and its answer must not claim that
  // it did not run.
  @Test
  void nonIdempotentCallIsNotRetriedAfterConnectionLoss() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("book");
    relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
    assertThat(relay.sends(id), hasSize(1));
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
  }

  // A call that certainly did not run can safely be retried at another endpoint.
  @Test
  void unsentNonIdempotentCallIsRetriedAtAnotherEndpoint() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("book");
    relay.attemptFailed(id, 1, AttemptFailureCause.NOT_SENT);
    assertThat(relay.sends(id), hasSize(2));
    assertThat(relay.sends(id).get(1).address(), not(relay.sends(id).get(0).address()));
  }

  // A pooled connection may be closing; losing it would leave the outcome of the call unknown.
  @Test
  void nonIdempotentCallsUseNewConnections() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    assertThat(relay.sends(id).get(0).options().connection(), is(SendOptions.ConnectionUse.FRESH));
  }

  // An endpoint may repeat a refusal on its connection. A second attempt has the same request id,
  // so
  // the refusal would be taken for its answer, and the request would be sent a third time.
  @Test
  void secondAttemptUsesNewConnection() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("read");
    relay.notRun(id, 1);
    assertThat(relay.sends(id).get(0).options().connection(), is(SendOptions.ConnectionUse.ANY));
    assertThat(relay.sends(id).get(1).options().connection(), is(SendOptions.ConnectionUse.FRESH));
  }

  // A 503 states that the request did not run, and its Retry-After tells when to retry.
  @Test
  void refusedCallGetsRetryAfter() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.notRun(id, 1);
    LocalAnswer answer = relay.localAnswer(id).orElseThrow();
    assertThat(answer.status(), is(503));
    assertThat(answer.retryAfterMillis().orElseThrow(), greaterThan(0L));
  }

  // A failed idempotent call is retried once at another endpoint. If that fails too, the caller
  // gets the second failure unchanged.
  @Test
  void failedIdempotentCallIsRetriedOnce() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("read");
    relay.answerReceived(id, 1, 500);
    assertThat(relay.sends(id), hasSize(2));
    relay.answerReceived(id, 2, 500);
    assertThat(relay.sends(id), hasSize(2));
    assertThat(relay.lastEffect(RelayEffect.RelayAnswer.class).attempt(), is(2));
  }

  // An endpoint was killed within an answer without a length, whose part reached its caller.
  @Test
  void answerThatEndsWithItsConnectionCountsOnlyIfTheEndpointOutlivesIt() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId whole = relay.request("read");
    relay.answerEnded(whole, 1, 200);
    assertThat(relay.effectsOf(RelayEffect.TakeAnswer.class), empty());
    relay.post(new RelayEvent.EndpointHeard(whole, 1, EndpointSign.UNNAMED));
    assertThat(relay.lastEffect(RelayEffect.TakeAnswer.class).id(), is(whole));

    for (EndpointSign sign : List.of(EndpointSign.NONE, EndpointSign.OTHER_PROCESS)) {
      RelayRequestId cut = relay.request("read");
      relay.answerEnded(cut, 1, 200);
      relay.post(new RelayEvent.EndpointHeard(cut, 1, sign));
      assertThat(relay.lastEffect(RelayEffect.TakeAnswer.class).id(), is(whole));
      assertThat(relay.sends(cut), hasSize(2));
    }
  }

  // The next process at the address vouched for a killed one after a pause of the relay.
  @Test
  void unnamedSignOfLifeAfterPauseConfirmsNothing() {
    relay.list(relay.plain("a"), relay.plain("b"));
    relay.advanceMillis(50);
    RelayRequestId id = relay.request("book");
    relay.pauseMillis(1_000);
    relay.answerEnded(id, 1, 200);
    relay.post(new RelayEvent.EndpointHeard(id, 1, EndpointSign.UNNAMED));
    assertThat(relay.effectsOf(RelayEffect.TakeAnswer.class), empty());
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
  }

  // A call that may have run must not be repeated, and half of its answer is none.
  @Test
  void cutAnswerOfNonIdempotentCallEndsAsUnknown() {
    relay.list(relay.plain("a"), relay.plain("b"));
    RelayRequestId id = relay.request("book");
    relay.answerEnded(id, 1, 200);
    relay.post(new RelayEvent.EndpointHeard(id, 1, EndpointSign.NONE));
    assertThat(relay.sends(id), hasSize(1));
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
  }

  // A refusal needs no sign of life: its head says that the request has not run.
  @Test
  void refusalThatEndsWithItsConnectionCountsAtOnce() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.answerEnded(id, 1, 421);
    assertThat(relay.lastEffect(RelayEffect.TakeAnswer.class).id(), is(id));
  }

  // The retries of all relays together must stay within the platform's retry budget.
  @Test
  void retriesStayWithinBudget() {
    relay.list(relay.plain("a"), relay.plain("b"));
    for (int count = 0; count < 200; count++) {
      RelayRequestId id = relay.request("read");
      relay.attemptFailed(id, 1, AttemptFailureCause.CONNECTION_LOST);
      relay.attemptFailed(id, 2, AttemptFailureCause.CONNECTION_LOST);
    }
    int retries = relay.effectsOf(RelayEffect.Send.class).size() - 200;
    assertThat(retries <= 0.15 * 200 + 16, is(true));
  }

  // Retries after signed failures count against the budget as well; once it is used up, the failure
  // is relayed to the caller.
  @Test
  void retriesOfSignedFailuresStayWithinBudget() {
    relay.list(relay.plain("a"), relay.plain("b"));
    for (int count = 0; count < 200; count++) {
      RelayRequestId id = relay.request("read");
      relay.answerReceived(id, 1, 500);
      if (relay.sends(id).size() > 1) {
        relay.answerReceived(id, 2, 500);
      }
      RelayEffect.RelayAnswer relayed = relay.lastEffect(RelayEffect.RelayAnswer.class);
      assertThat(relayed.id(), is(id));
      relay.post(new RelayEvent.AnswerRelayed(id, relayed.attempt(), RelayHarness.EVIDENCE));
    }
    int retries = relay.effectsOf(RelayEffect.Send.class).size() - 200;
    assertThat(retries <= 0.15 * 200 + 16, is(true));
  }

  // An answer without the endpoint's signature may belong to another request.
  @Test
  void unsignedSuccessIsNotRelayed() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.post(
        new RelayEvent.AnswerReceived(
            id,
            1,
            new AnswerSummary(200, false, false, Optional.empty(), false, StatedLimit.NONE)));
    assertThat(relay.effectsOf(RelayEffect.RelayAnswer.class), empty());
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(502));
  }

  // At the route's timeout the caller gets an answer and the attempt is cancelled.
  @Test
  void callEndsAtRouteTimeout() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("book");
    relay.advanceMillis(900);
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(504));
    assertThat(relay.effectsOf(RelayEffect.CancelAttempt.class), hasSize(1));
  }

  // An endpoint must not keep working for a caller that has disconnected.
  @Test
  void attemptIsCancelledWhenCallerDisconnects() {
    relay.list(relay.plain("a"));
    RelayRequestId id = relay.request("read");
    relay.post(new RelayEvent.CallerDisconnected(id));
    assertThat(relay.lastEffect(RelayEffect.CancelAttempt.class).id(), is(id));
    assertThat(relay.state().openRequests(), is(0));
  }

  // An older routing table that arrives late must not make a revoked key valid again.
  @Test
  void revokedKeyStaysRefusedAfterOlderRoutingTable() {
    relay.list(relay.plain("a"));
    relay.post(
        new RelayEvent.RoutesAnswered(
            Optional.of(RelayHarness.routes(3, Map.of())), RelayHarness.version(3)));
    relay.post(
        new RelayEvent.RoutesAnswered(
            Optional.of(RelayHarness.routes(2)), RelayHarness.version(4)));
    RelayRequestId id = relay.request("read");
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(401));
  }

  // A request that no endpoint or path can serve is refused immediately, not at its deadline.
  @Test
  void requestWithoutCompletePathIsRefusedImmediately() {
    relay.list(relay.model("a", 0, 5));
    RelayRequestId id = relay.request("stream", Optional.of(RelayHarness.KEY), 20_000);
    assertThat(relay.localAnswer(id).orElseThrow().status(), is(503));
  }

  // A draining endpoint must get no new requests.
  @Test
  void drainingEndpointGetsNoRequest() {
    relay.list(relay.endpoint("a", RelayHarness.PLAIN, Optional.empty(), true), relay.plain("b"));
    for (int count = 0; count < 10; count++) {
      RelayRequestId id = relay.request("read");
      assertThat(relay.sends(id).get(0).options().expectedEndpoint().value(), is("b"));
      relay.answerReceived(id, 1, 200);
      relay.post(new RelayEvent.AnswerRelayed(id, 1, RelayHarness.EVIDENCE));
    }
  }

  // Each layer must run exactly once: where endpoints hold overlapping layers, running one twice
  // would produce wrong tokens.
  @Test
  void pathRunsOverlappingLayersOnce() {
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
