package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Runs one batch at a time on the engine; steps that arrive meanwhile form the next batch. */
final class StageBatchScheduler {
  /** Limits how long a session that rebuilds many positions delays the others in a batch. */
  private static final int MAX_STEPS_PER_SESSION = 64;

  private StageBatchScheduler() {}

  /**
   * Starts a batch of pending steps if the engine runs none. If more sessions have steps than the
   * session limit allows, those of higher priority run first.
   */
  static Step<AgentState, AgentEffect> startNextBatch(AgentState state) {
    StageState stages = state.stages();
    if (stages.batch().nonEmpty() || stages.readySessions().isEmpty()) {
      return Step.of(state);
    }
    int limit = Math.max(1, AgentStatus.concurrencyLimit(state));
    Vector<SessionId> ready = stages.readySessions();
    if (ready.size() > limit) {
      ready = ready.sortBy(id -> stages.sessions().get(id).get().openMessage().priority());
    }
    StageState next = stages;
    Vector<SessionId> remaining = ready.drop(limit);
    Vector<StageStep> batch = Vector.empty();
    for (SessionId id : ready.take(limit)) {
      StageSession session = stages.sessions().get(id).get();
      Vector<StageStep> steps = nextSteps(session);
      batch = batch.appendAll(steps);
      next = next.withSession(session.withStartedSteps(steps.size()));
      if (steps.size() < session.pendingInputs().size()) {
        remaining = remaining.append(id);
      }
    }
    return Step.of(
        state.withStages(next.withReadySessions(remaining).withBatch(ready.take(limit))),
        new AgentEffect.RunSteps(batch));
  }

  private static Vector<StageStep> nextSteps(StageSession session) {
    int first = session.firstUnfinished() + session.runningSteps();
    return session
        .pendingInputs()
        .take(MAX_STEPS_PER_SESSION)
        .zipWithIndex(
            (input, index) ->
                new StageStep(
                    session.id(),
                    first + index,
                    input,
                    session.openMessage().maxTokens(),
                    session.openMessage().priority()));
  }

  static Step<AgentState, AgentEffect> completeBatch(
      AgentState state, Vector<StageResult> results) {
    Vector<SessionId> batch = state.stages().batch();
    Step<AgentState, AgentEffect> step =
        Step.of(state.withStages(state.stages().withBatch(Vector.empty())));
    for (StageResult result : results) {
      step = ReducerSteps.then(step, next -> applyResult(next, result));
    }
    step = ReducerSteps.then(step, next -> failSessionsWithoutResult(next, batch));
    step = ReducerSteps.then(step, StageBatchScheduler::startNextBatch);
    return ReducerSteps.then(step, CacheTransfer::startPendingExports);
  }

  private static Step<AgentState, AgentEffect> applyResult(AgentState state, StageResult result) {
    if (result instanceof StageResult.Output output) {
      return recordOutput(state, output.session(), output.position(), output.payload());
    }
    if (result instanceof StageResult.Generated token) {
      Payload encoded = new TokenOutput(token.text(), token.finish()).encode();
      return recordOutput(state, token.session(), token.position(), encoded);
    }
    StageResult.Failed failed = (StageResult.Failed) result;
    return findRunningSession(state, failed.session(), failed.position())
        .map(
            session ->
                StageSessionLifecycle.fail(
                    state, session, RefusalReason.ENDPOINT_FAILED, failed.detail()))
        .getOrElse(() -> Step.of(state));
  }

  /** Returns the session if the position is the first of its steps in the running batch. */
  private static Option<StageSession> findRunningSession(
      AgentState state, SessionId id, int position) {
    return state
        .stages()
        .sessions()
        .get(id)
        .filter(session -> session.runningSteps() > 0 && session.firstUnfinished() == position);
  }

  private static Step<AgentState, AgentEffect> recordOutput(
      AgentState state, SessionId id, int position, Payload output) {
    Option<StageSession> running = findRunningSession(state, id, position);
    if (running.isEmpty()) {
      return Step.of(state);
    }
    StageSession session = running.get().withFinishedStep(output);
    StageState stages = state.stages();
    StageState updated =
        stages
            .withSession(session)
            .withKeptBytes(stages.keptBytes() + output.sizeBytes())
            .withThroughput(stages.stepsDone() + 1, stages.tokensPerSecond());
    Step<AgentState, AgentEffect> step =
        session.shouldForward(position)
            ? new Step<>(
                state.withStages(updated), StageFrames.outputMessage(session, position).toVector())
            : Step.of(state.withStages(updated));
    return new Step<>(dropOutputsOverLimit(step.state()), step.effects());
  }

  /**
   * Drops older outputs of the session with the most kept bytes, until all kept outputs fit into
   * the memory limit or each session keeps at most one.
   */
  static AgentState dropOutputsOverLimit(AgentState state) {
    StageState stages = state.stages();
    while (stages.keptBytes() > state.properties().keptOutputBytes()) {
      Option<StageSession> largest =
          stages
              .sessions()
              .values()
              .filter(session -> session.keptOutputs().outputs().size() > 1)
              .maxBy(session -> session.keptOutputs().bytes());
      if (largest.isEmpty()) {
        break;
      }
      KeptOutputs reduced = largest.get().keptOutputs().dropOlderHalf();
      stages =
          stages
              .withSession(largest.get().withKeptOutputs(reduced))
              .withKeptBytes(
                  stages.keptBytes() - largest.get().keptOutputs().bytes() + reduced.bytes());
    }
    return state.withStages(stages);
  }

  /** Fails the sessions of a batch for whose steps the engine returned no result. */
  private static Step<AgentState, AgentEffect> failSessionsWithoutResult(
      AgentState state, Vector<SessionId> batch) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (StageSession session : batch.flatMap(id -> state.stages().sessions().get(id))) {
      if (session.runningSteps() > 0) {
        step =
            ReducerSteps.then(
                step,
                next ->
                    StageSessionLifecycle.fail(
                        next,
                        session,
                        RefusalReason.ENDPOINT_FAILED,
                        "engine returned no result for position " + session.firstUnfinished()));
      }
    }
    return step;
  }
}
