package io.zinniawood.agent.internal;

import io.vavr.control.Option;
import io.zinniawood.core.agent.AgentEffect;
import io.zinniawood.core.agent.AgentEvent;
import io.zinniawood.core.agent.ClaimWriteResult;
import io.zinniawood.core.agent.StageResult;
import io.zinniawood.core.agent.StoreWriteResult;
import io.zinniawood.core.model.OrderOutcome;
import io.zinniawood.core.model.Outcome;

/** Results of effects that could not be executed, so that no decision waits for them. */
public final class FailedEffects {
  private static final String DETAIL = "the agent failed to execute the effect";

  private FailedEffects() {}

  /** Returns the event that ends what the effect began; none if nothing waits for the effect. */
  public static Option<AgentEvent> resultOf(AgentEffect effect) {
    if (effect instanceof AgentEffect.CallService call) {
      return Option.some(new AgentEvent.ServiceFailed(call.attempt(), Outcome.UNKNOWN, DETAIL));
    }
    if (effect instanceof AgentEffect.WriteClaim write) {
      return Option.some(
          new AgentEvent.ClaimWritten(write.attempt(), new ClaimWriteResult.OutcomeUnknown()));
    }
    if (effect instanceof AgentEffect.StoreAnswer store) {
      return Option.some(new AgentEvent.AnswerStored(store.attempt(), StoreWriteResult.FAILED));
    }
    if (effect instanceof AgentEffect.RunSteps run) {
      return Option.some(
          new AgentEvent.StepsCompleted(
              run.steps()
                  .map(step -> new StageResult.Failed(step.session(), step.position(), DETAIL))));
    }
    if (effect instanceof AgentEffect.ExportCache export) {
      return Option.some(new AgentEvent.CacheExported(export.session(), Option.none(), 0));
    }
    if (effect instanceof AgentEffect.ImportCache cache) {
      return Option.some(
          new AgentEvent.CacheImported(cache.session(), cache.epoch(), StoreWriteResult.FAILED));
    }
    if (effect instanceof AgentEffect.SubmitOrder order) {
      return Option.some(new AgentEvent.OrderCompleted(order.order(), OrderOutcome.FAILED, DETAIL));
    }
    if (effect instanceof AgentEffect.ReadFencingNumber) {
      return Option.some(new AgentEvent.FencingNumberRead(Option.none()));
    }
    return effect instanceof AgentEffect.ReadEngineStatus
        ? Option.some(new AgentEvent.EngineUnavailable())
        : Option.none();
  }
}
