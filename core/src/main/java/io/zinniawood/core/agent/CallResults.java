package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.CallState.Attempt;
import io.zinniawood.core.agent.CallState.Phase;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.runtime.Step;

/** Results of calls of the plain service. */
final class CallResults {
  /** Weight of one call in the moving average of the call duration is 1/8. */
  private static final int MEAN_WEIGHT_SHIFT = 3;

  private CallResults() {}

  static Step<AgentState, AgentEffect> answered(
      AgentState state, long nowNanos, AttemptId id, ServiceAnswer answer) {
    Option<Attempt> calling = runningAttempt(state, id);
    if (calling.isEmpty()) {
      return Step.of(state);
    }
    AgentState measured = withCallDuration(state, nowNanos - calling.get().startedNanos());
    return calling.get().dispatch().key().isDefined()
        ? KeyClaims.callAnswered(measured, nowNanos, calling.get(), answer)
        : AttemptCompletion.answer(measured, nowNanos, id, answer);
  }

  static Step<AgentState, AgentEffect> failed(
      AgentState state, long nowNanos, AttemptId id, Outcome outcome, String detail) {
    Option<Attempt> calling = runningAttempt(state, id);
    if (calling.isEmpty()) {
      return Step.of(state);
    }
    Step<AgentState, AgentEffect> step =
        calling.get().dispatch().key().isDefined()
            ? KeyClaims.callFailed(state, nowNanos, calling.get(), outcome)
            : AttemptCompletion.refuse(
                state, nowNanos, id, RefusalReason.ENDPOINT_FAILED, outcome, Option.none());
    return step.and(ReducerSteps.log(NoticeKind.FAILED, id, "%s: %s".formatted(outcome, detail)));
  }

  private static Option<Attempt> runningAttempt(AgentState state, AttemptId id) {
    return state.calls().live().get(id).filter(attempt -> attempt.phase() == Phase.CALLING);
  }

  private static AgentState withCallDuration(AgentState state, long callNanos) {
    long mean = state.calls().meanCallNanos();
    long next = mean == 0 ? callNanos : mean + ((callNanos - mean) >> MEAN_WEIGHT_SHIFT);
    return state.withCalls(state.calls().withMeanCallNanos(next));
  }
}
