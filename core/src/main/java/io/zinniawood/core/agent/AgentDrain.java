package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServingState;
import io.zinniawood.core.runtime.Step;

/** Drains the agent: refuses queued calls, lets work in progress finish, then stops. */
final class AgentDrain {
  private AgentDrain() {}

  static Step<AgentState, AgentEffect> start(AgentState state, long nowNanos) {
    if (state.leaving()) {
      return Step.of(state);
    }
    AgentState leaving =
        state.withServing(ServingState.LEAVING).withCalls(state.calls().withLeavingSince(nowNanos));
    Step<AgentState, AgentEffect> step = AgentStatus.announce(leaving);
    Vector<AttemptId> queued =
        leaving.calls().live().filterValues(CallState.Attempt::queued).keySet().toVector();
    for (AttemptId id : queued) {
      step = ReducerSteps.then(step, next -> refuseQueued(next, nowNanos, id));
    }
    return step;
  }

  private static Step<AgentState, AgentEffect> refuseQueued(
      AgentState state, long nowNanos, AttemptId id) {
    return state.calls().live().containsKey(id)
        ? AttemptCompletion.refuse(
            state, nowNanos, id, RefusalReason.LEAVING, Outcome.NOT_RUN, Option.none())
        : Step.of(state);
  }

  /** Adds the effect that stops the process to the step that completes the drain. */
  static Step<AgentState, AgentEffect> stopIfDone(
      AgentState before, Step<AgentState, AgentEffect> step) {
    return done(step.state()) && !done(before) ? step.and(new AgentEffect.Stop()) : step;
  }

  private static boolean done(AgentState state) {
    return state.leaving()
        && state.calls().idle()
        && state.stages().sessions().isEmpty()
        && state.orders().running().isEmpty();
  }
}
