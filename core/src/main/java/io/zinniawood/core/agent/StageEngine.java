package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Runs one batch at a time on the engine; steps that arrive meanwhile form the next batch. */
final class StageEngine {
  /** Bounds the time that one rebuilding session takes from the others in a batch. */
  private static final int MAX_STEPS_OF_SESSION = 64;

  private StageEngine() {}

  /** Starts a batch of all pending steps if the engine runs none. */
  static Step<AgentState, AgentEffect> runNext(AgentState state) {
    StageState stages = state.stages();
    if (stages.batch().nonEmpty() || stages.ready().isEmpty()) {
      return Step.of(state);
    }
    int limit = Math.max(1, AgentStatus.concurrencyLimit(state));
    Vector<SessionId> ready = stages.ready();
    if (ready.size() > limit) {
      ready = ready.sortBy(id -> stages.sessions().get(id).get().open().priority());
    }
    StageState next = stages;
    Vector<SessionId> left = ready.drop(limit);
    Vector<StageStep> batch = Vector.empty();
    for (SessionId id : ready.take(limit)) {
      StageSession session = stages.sessions().get(id).get();
      Vector<StageStep> steps = steps(session);
      batch = batch.appendAll(steps);
      next = next.withSession(session.started(steps.size()));
      if (steps.size() < session.pending().size()) {
        left = left.append(id);
      }
    }
    return Step.of(
        state.withStages(next.withReady(left).withBatch(ready.take(limit))),
        new AgentEffect.RunSteps(batch));
  }

  private static Vector<StageStep> steps(StageSession session) {
    int first = session.done() + session.running();
    return session
        .pending()
        .take(MAX_STEPS_OF_SESSION)
        .zipWithIndex(
            (input, index) ->
                new StageStep(
                    session.id(),
                    first + index,
                    input,
                    session.open().maxTokens(),
                    session.open().priority()));
  }

  static Step<AgentState, AgentEffect> completed(AgentState state, Vector<StageResult> results) {
    Vector<SessionId> batch = state.stages().batch();
    Step<AgentState, AgentEffect> step =
        Step.of(state.withStages(state.stages().withBatch(Vector.empty())));
    for (StageResult result : results) {
      step = ReducerSteps.then(step, next -> completedOne(next, result));
    }
    step = ReducerSteps.then(step, next -> failMissing(next, batch));
    step = ReducerSteps.then(step, StageEngine::runNext);
    return ReducerSteps.then(step, StageTransfer::exportReady);
  }

  private static Step<AgentState, AgentEffect> completedOne(AgentState state, StageResult result) {
    if (result instanceof StageResult.Output output) {
      return output(state, output.session(), output.position(), output.payload());
    }
    if (result instanceof StageResult.Generated token) {
      Payload kept = new TokenOutput(token.text(), token.finish()).encode();
      return output(state, token.session(), token.position(), kept);
    }
    StageResult.Failed failed = (StageResult.Failed) result;
    return running(state, failed.session(), failed.position())
        .map(
            session ->
                StageSessions.fail(state, session, RefusalReason.ENDPOINT_FAILED, failed.detail()))
        .getOrElse(() -> Step.of(state));
  }

  /** Returns the session if the batch ran its next position. */
  private static Option<StageSession> running(AgentState state, SessionId id, int position) {
    return state
        .stages()
        .sessions()
        .get(id)
        .filter(session -> session.running() > 0 && session.done() == position);
  }

  private static Step<AgentState, AgentEffect> output(
      AgentState state, SessionId id, int position, Payload output) {
    Option<StageSession> before = running(state, id, position);
    if (before.isEmpty()) {
      return Step.of(state);
    }
    StageSession session = before.get().finished(output);
    StageState stages = state.stages();
    StageState kept =
        stages
            .withSession(session)
            .withKeptBytes(stages.keptBytes() + output.sizeBytes())
            .withThroughput(stages.stepsDone() + 1, stages.tokensPerSecond());
    Step<AgentState, AgentEffect> step =
        session.forwards(position)
            ? new Step<>(state.withStages(kept), StageFrames.forward(session, position).toVector())
            : Step.of(state.withStages(kept));
    return new Step<>(withinBound(step.state()), step.effects());
  }

  /** Drops older outputs of the session that keeps most until all fit into the bound. */
  static AgentState withinBound(AgentState state) {
    StageState stages = state.stages();
    while (stages.keptBytes() > state.properties().keptOutputBytes()) {
      Option<StageSession> largest =
          stages
              .sessions()
              .values()
              .filter(session -> session.kept().outputs().size() > 1)
              .maxBy(session -> session.kept().bytes());
      if (largest.isEmpty()) {
        break;
      }
      KeptOutputs less = largest.get().kept().dropOlderHalf();
      stages =
          stages
              .withSession(largest.get().withKept(less))
              .withKeptBytes(stages.keptBytes() - largest.get().kept().bytes() + less.bytes());
    }
    return state.withStages(stages);
  }

  /** Fails sessions for whose steps the engine gave no result. */
  private static Step<AgentState, AgentEffect> failMissing(
      AgentState state, Vector<SessionId> batch) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (StageSession session : batch.flatMap(id -> state.stages().sessions().get(id))) {
      if (session.running() > 0) {
        step =
            ReducerSteps.then(
                step,
                next ->
                    StageSessions.fail(
                        next,
                        session,
                        RefusalReason.ENDPOINT_FAILED,
                        "no result for position " + session.done()));
      }
    }
    return step;
  }
}
