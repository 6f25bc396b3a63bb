package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.ModelDefinition;
import io.zinniawood.core.entry.routing.Stage;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;

/** Takes model requests and ends them early. */
final class ModelRequests {
  private ModelRequests() {}

  static void arrived(Turn turn, EntryEvent.ModelRequestArrived event) {
    if (turn.state().requests().containsKey(event.request())) {
      return;
    }
    Option<Problem> refusal = Admission.admit(turn, event.clientAccount(), event.deadlineNanos());
    if (refusal.isDefined()) {
      refuse(turn, event, refusal.get());
      return;
    }
    Option<ModelDefinition> model = turn.cluster().models().get(event.model());
    if (model.isEmpty()) {
      refuseOpened(
          turn,
          event,
          Problem.notRun(
              ProblemType.NOT_FOUND, "model %s is not configured".formatted(event.model())));
      return;
    }
    LayerRange all = new LayerRange(0, model.get().layers());
    Option<Vector<Stage>> chain =
        Selection.chain(turn, event.model(), all, event.prefixHash(), event.priority());
    if (chain.isEmpty()) {
      refuseOpened(
          turn,
          event,
          Problem.notRunRetry(
              ProblemType.NO_ENDPOINT,
              "no chain of endpoints with free capacity covers layers [0, %d) of model %s"
                  .formatted(all.toLayerExclusive(), event.model()),
              500));
      return;
    }
    Session session =
        Session.first(
            turn.nextSession(),
            event,
            StageSessions.addresses(chain.get()),
            1,
            Progress.none(turn.nowNanos()));
    turn.update(
        state ->
            state.withRequests(
                state.requests().put(event.request(), new OpenRequest.OfModel(session.id()))));
    turn.startTimer(
        new EntryTimer.RequestDeadline(event.request()), event.deadlineNanos() - turn.nowNanos());
    StageSessions.take(turn, chain.get());
    StageSessions.open(turn, session);
  }

  static void deadline(Turn turn, Session session) {
    Problem problem =
        session.stepSent()
            ? Problem.unknown(
                ProblemType.DEADLINE_EXCEEDED,
                "the deadline passed after %d tokens".formatted(session.progress().nextPosition()))
            : Problem.notRun(
                ProblemType.DEADLINE_EXCEEDED, "the deadline passed before the prompt was sent");
    StageSessions.close(turn, session);
    Answers.failModel(turn, session, problem);
  }

  static void callerGone(Turn turn, Session session) {
    StageSessions.close(turn, session);
    Answers.endModel(
        turn, session, session.stepSent() ? Outcome.UNKNOWN : Outcome.NOT_RUN, Option.none());
  }

  private static void refuse(Turn turn, EntryEvent.ModelRequestArrived event, Problem problem) {
    Answers.refuse(turn, event.request(), event.clientAccount(), event.model().value(), problem);
  }

  /** Refuses a request that was already counted for its account. */
  private static void refuseOpened(
      Turn turn, EntryEvent.ModelRequestArrived event, Problem problem) {
    Admission.release(turn, event.clientAccount());
    refuse(turn, event, problem);
  }
}
