package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.entry.routing.ChainSelector.SelectedStage;
import io.zinniawood.core.id.ModelId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/**
 * Accepts and routes model requests, and ends them at their deadline or when the caller
 * disconnects.
 */
final class ModelRequests {
  private ModelRequests() {}

  static void arrived(Turn turn, EntryEvent.ModelRequestArrived event) {
    if (turn.state().requests().containsKey(event.request())) {
      return;
    }
    String target = event.model().value();
    Option<Problem> refusal =
        Admission.admit(turn, event.clientAccount(), target, event.deadlineNanos());
    if (refusal.isDefined()) {
      RequestCompletion.refuse(turn, event.request(), event.clientAccount(), target, refusal.get());
      return;
    }
    Retries.countRequest(turn);
    Session session =
        Session.create(
                turn.nextSessionId(),
                withBoundedMaxTokens(turn, event),
                1,
                Vector.empty(),
                DeliveryProgress.initial(turn.nowNanos()))
            .withPhase(SessionPhase.RETRY_DELAY);
    turn.putSession(session);
    OpenRequests.put(turn, event.request(), new OpenRequest.ModelRequest(session.id()));
    turn.startTimer(
        new EntryTimer.RequestDeadline(event.request()), event.deadlineNanos() - turn.nowNanos());
    route(turn, session);
  }

  /**
   * Limits the answer to the model's maximum number of tokens, which also bounds the tokens that
   * the session stores.
   */
  private static EntryEvent.ModelRequestArrived withBoundedMaxTokens(
      Turn turn, EntryEvent.ModelRequestArrived event) {
    int modelMaxTokens =
        turn.cluster()
            .models()
            .get(event.model())
            .map(ModelDefinition::maxTokens)
            .getOrElse(event.maxTokens());
    return new EntryEvent.ModelRequestArrived(
        event.request(),
        event.clientAccount(),
        event.model(),
        event.prompt(),
        event.prefixHash(),
        event.promptTokens(),
        Math.max(1, Math.min(modelMaxTokens, event.maxTokens())),
        event.priority(),
        event.deadlineNanos());
  }

  /**
   * Selects a chain for a session without stages and opens it. If none is available, a request on
   * its second or later session waits for one until its deadline, and a new request is refused.
   */
  static void route(Turn turn, Session session) {
    var arrival = session.arrival();
    Option<ModelDefinition> model = turn.cluster().models().get(arrival.model());
    if (model.isEmpty()) {
      RequestCompletion.failModel(
          turn,
          session,
          Problem.notRun(
              ProblemType.NOT_FOUND, "model %s is not configured".formatted(arrival.model())));
      return;
    }
    LayerRange all = new LayerRange(0, model.get().layers());
    Option<Vector<SelectedStage>> chain =
        EndpointSelection.selectChain(
            turn, all, arrival, HashSet.empty(), Headroom.forNewWork(arrival.priority()));
    if (chain.isEmpty() && session.sessionsUsed() > 1) {
      turn.startTimer(
          new EntryTimer.RetryDelay(arrival.request()),
          Retries.delayNanos(turn, session.sessionsUsed()));
      return;
    }
    if (chain.isEmpty()) {
      RequestCompletion.failModel(turn, session, noChainProblem(turn, arrival.model(), all));
      return;
    }
    StageSessions.reserveSlots(turn, chain.get());
    StageSessions.openEpoch(turn, session.withFirstChain(StageSessions.addresses(chain.get())));
  }

  /** Ends a request at its deadline. The outcome is not-run if no input was sent. */
  static void deadlinePassed(Turn turn, Session session) {
    Problem problem =
        session.inputSent()
            ? Problem.unknown(
                ProblemType.DEADLINE_EXCEEDED,
                "the deadline passed after %d tokens".formatted(session.nextPosition()))
            : Problem.notRun(
                ProblemType.DEADLINE_EXCEEDED, "the deadline passed before the prompt was sent");
    StageSessions.close(turn, session);
    RequestCompletion.failModel(turn, session, problem);
  }

  /** Closes the session of a caller that disconnected and records the result. */
  static void callerDisconnected(Turn turn, Session session) {
    StageSessions.close(turn, session);
    RequestCompletion.recordModelResult(
        turn, session, session.inputSent() ? Outcome.UNKNOWN : Outcome.NOT_RUN, Option.none());
  }

  private static Problem noChainProblem(Turn turn, ModelId model, LayerRange all) {
    boolean served = FlowPlans.of(turn, model).tokensPerSecond() > 0;
    String detail =
        served
            ? "every chain of model %s is at its limit".formatted(model)
            : "no chain of endpoints covers layers [0, %d) of model %s"
                .formatted(all.toLayerExclusive(), model);
    return Problem.notRunRetry(
        served ? ProblemType.OVERLOADED : ProblemType.NO_ENDPOINT, detail, 500);
  }
}
