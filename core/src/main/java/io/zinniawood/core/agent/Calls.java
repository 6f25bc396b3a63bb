package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.GateState.Attempt;
import io.zinniawood.core.agent.GateState.Phase;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.core.runtime.Step;

/** Results of calls of the plain service. */
final class Calls {
  /** Weight of one call in the moving average of the call duration is 1/8. */
  private static final int AVERAGE_SHIFT = 3;

  private Calls() {}

  static Step<AgentState, AgentEffect> answered(
      AgentState state, long nowNanos, AttemptId id, ServiceAnswer answer) {
    Option<Attempt> calling = calling(state, id);
    if (calling.isEmpty()) {
      return Step.of(state);
    }
    AgentState measured = measured(state, nowNanos - calling.get().startedNanos());
    return calling.get().dispatch().key().isDefined()
        ? Claims.answered(measured, nowNanos, calling.get(), answer)
        : Ending.answer(measured, nowNanos, id, answer);
  }

  static Step<AgentState, AgentEffect> failed(
      AgentState state, long nowNanos, AttemptId id, Outcome outcome, String detail) {
    Option<Attempt> calling = calling(state, id);
    if (calling.isEmpty()) {
      return Step.of(state);
    }
    Step<AgentState, AgentEffect> step =
        calling.get().dispatch().key().isDefined()
            ? Claims.failed(state, nowNanos, calling.get(), outcome)
            : Ending.refuse(
                state, nowNanos, id, RefusalReason.ENDPOINT_FAILED, outcome, Option.none());
    return step.and(Change.log(NoticeKind.FAILED, id, "%s: %s".formatted(outcome, detail)));
  }

  private static Option<Attempt> calling(AgentState state, AttemptId id) {
    return state.gate().live().get(id).filter(attempt -> attempt.phase() == Phase.CALLING);
  }

  private static AgentState measured(AgentState state, long callNanos) {
    long mean = state.gate().meanCallNanos();
    long next = mean == 0 ? callNanos : mean + ((callNanos - mean) >> AVERAGE_SHIFT);
    return state.withGate(state.gate().withMeanCallNanos(next));
  }
}
