package io.zinniawood.core.agent;

import io.zinniawood.core.runtime.Step;
import java.util.function.Function;

/** Composes steps of the agent's reducer. */
final class ReducerSteps {
  private ReducerSteps() {}

  /** Continues a step with the state that it produced; its effects come first. */
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
