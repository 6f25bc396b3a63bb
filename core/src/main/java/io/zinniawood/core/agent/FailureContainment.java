package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.FailureDescription;
import io.zinniawood.core.runtime.Step;
import java.util.function.Function;

/**
 * Contains the failure of a decision: its changes and effects are dropped as a whole, it is logged,
 * and what waited for the event gets its end.
 */
final class FailureContainment {
  private static final long TIMER_RETRY_NANOS = 1_000_000_000L;
  private static final String DETAIL = "the agent failed to handle the result";

  private FailureContainment() {}

  /**
   * Handles an event.
   *
   * @param state state before the event
   * @param handler handles an event in this state
   */
  static Step<AgentState, AgentEffect> handle(
      AgentState state,
      AgentEvent event,
      Function<AgentEvent, Step<AgentState, AgentEffect>> handler) {
    try {
      return handler.apply(event);
    } catch (RuntimeException | Error failure) {
      Step<AgentState, AgentEffect> logged = logged(state, event, failure);
      return substitute(event)
          .map(next -> handleSubstitute(logged, next, handler))
          .getOrElse(() -> logged.andAll(followUp(state, event)));
    }
  }

  private static Step<AgentState, AgentEffect> handleSubstitute(
      Step<AgentState, AgentEffect> logged,
      AgentEvent event,
      Function<AgentEvent, Step<AgentState, AgentEffect>> handler) {
    try {
      return ReducerSteps.then(logged, unchanged -> handler.apply(event));
    } catch (RuntimeException | Error failure) {
      return logged.andAll(logged(logged.state(), event, failure).effects());
    }
  }

  private static Step<AgentState, AgentEffect> logged(
      AgentState state, AgentEvent event, Throwable failure) {
    return Step.of(
        state,
        ReducerSteps.log(
            NoticeKind.FAILED,
            event.getClass().getSimpleName(),
            "decision failed: " + FailureDescription.of(failure)));
  }

  /** Returns the event that ends what waits for a result, without the result itself. */
  private static Option<AgentEvent> substitute(AgentEvent event) {
    if (event instanceof AgentEvent.ServiceAnswered answered) {
      return Option.some(new AgentEvent.ServiceFailed(answered.attempt(), Outcome.UNKNOWN, DETAIL));
    }
    if (event instanceof AgentEvent.StepsCompleted) {
      return Option.some(new AgentEvent.StepsCompleted(Vector.empty()));
    }
    if (event instanceof AgentEvent.ClaimWritten written) {
      return Option.some(
          new AgentEvent.ClaimWritten(written.attempt(), new ClaimWriteResult.OutcomeUnknown()));
    }
    return event instanceof AgentEvent.AnswerStored stored
        ? Option.some(new AgentEvent.AnswerStored(stored.attempt(), StoreWriteResult.FAILED))
        : Option.none();
  }

  private static Option<AgentEffect> followUp(AgentState state, AgentEvent event) {
    if (event instanceof AgentEvent.TimerFired fired) {
      return Option.some(new AgentEffect.StartTimer(fired.timer(), TIMER_RETRY_NANOS));
    }
    return event instanceof AgentEvent.MessageReceived received
        ? refusal(state, received)
        : Option.none();
  }

  /** Returns the refusal of work that was not admitted, which an entry may then place elsewhere. */
  private static Option<AgentEffect> refusal(
      AgentState state, AgentEvent.MessageReceived received) {
    if (received.message() instanceof Message.OpenSession open) {
      return Option.some(
          new AgentEffect.Send(
              received.peer(),
              new Message.SessionRefused(
                  open.session(), open.epoch(), open.stageIndex(), RefusalReason.ENDPOINT_FAILED)));
    }
    // Not refused as not-run: a repeated copy of this attempt could still start.
    return received.message() instanceof Message.Dispatch dispatch
            && !state.calls().live().containsKey(dispatch.attempt())
        ? Option.some(
            Replies.refusal(
                new Requester(received.peer(), dispatch.request()),
                dispatch.attempt(),
                RefusalReason.ENDPOINT_FAILED,
                Outcome.UNKNOWN,
                Option.none()))
        : Option.none();
  }
}
