package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.CallState.Attempt;
import io.zinniawood.core.agent.CallState.Phase;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.runtime.Step;

/** Handles the results of plain service calls. */
final class CallResults {
  /** A right shift by 3 gives each call a weight of 1/8 in the moving average of its duration. */
  private static final int MEAN_WEIGHT_SHIFT = 3;

  private CallResults() {}

  static Step<AgentState, AgentEffect> answered(
      AgentState state, long nowNanos, AttemptId id, ServiceAnswer answer) {
    Option<Attempt> attempt = runningAttempt(state, id);
    if (attempt.isEmpty()) {
      return Step.of(state);
    }
    long startedNanos = attempt.get().startedNanos();
    CallRate rate = state.calls().rate().answered(answer.headers(), startedNanos, nowNanos);
    AgentState measured =
        withCallDuration(state.withCalls(state.calls().withRate(rate)), nowNanos - startedNanos);
    ServiceAnswer passedOn = CallRate.withoutLimit(answer);
    return attempt.get().dispatch().key().isDefined()
        ? KeyClaims.callAnswered(measured, nowNanos, attempt.get(), passedOn)
        : AttemptCompletion.answer(measured, nowNanos, id, passedOn);
  }

  static Step<AgentState, AgentEffect> failed(
      AgentState state, long nowNanos, AttemptId id, Outcome outcome, String detail) {
    Option<Attempt> attempt = runningAttempt(state, id);
    if (attempt.isEmpty()) {
      return Step.of(state);
    }
    Step<AgentState, AgentEffect> step =
        attempt.get().dispatch().key().isDefined()
            ? KeyClaims.callFailed(state, nowNanos, attempt.get(), outcome)
            : AttemptCompletion.refuse(
                state, nowNanos, id, RefusalReason.ENDPOINT_FAILED, outcome, Option.none());
    return step.and(ReducerSteps.log(NoticeKind.FAILED, id, "%s: %s".formatted(outcome, detail)));
  }

  private static Option<Attempt> runningAttempt(AgentState state, AttemptId id) {
    return state.calls().live().get(id).filter(live -> live.phase() == Phase.CALLING);
  }

  private static AgentState withCallDuration(AgentState state, long callNanos) {
    long mean = state.calls().meanCallNanos();
    long next = mean == 0 ? callNanos : mean + ((callNanos - mean) >> MEAN_WEIGHT_SHIFT);
    return state.withCalls(state.calls().withMeanCallNanos(next));
  }
}
