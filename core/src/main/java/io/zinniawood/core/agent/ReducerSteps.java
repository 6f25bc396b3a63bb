package io.zinniawood.core.agent;

import io.zinniawood.core.runtime.Step;
import java.util.function.Function;

/** Composes the steps that the agent's reducer returns. */
final class ReducerSteps {
  private ReducerSteps() {}

  /** Applies a function to the state of a step and appends the effects of the result. */
  static Step<AgentState, AgentEffect> then(
      Step<AgentState, AgentEffect> step,
      Function<AgentState, Step<AgentState, AgentEffect>> next) {
    Step<AgentState, AgentEffect> following = next.apply(step.state());
    return new Step<>(following.state(), step.effects().appendAll(following.effects()));
  }

  static AgentEffect log(NoticeKind kind, Object subject, String detail) {
    return new AgentEffect.Log(new AgentNotice(kind, subject.toString(), detail));
  }
}
