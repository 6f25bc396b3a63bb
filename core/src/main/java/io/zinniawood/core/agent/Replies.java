package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;

/** Builds the replies to dispatched and cancelled calls. */
final class Replies {
  private Replies() {}

  static AgentEffect refusal(
      Requester requester,
      AttemptId attempt,
      RefusalReason reason,
      Outcome outcome,
      Option<ClaimRow> claim) {
    return new AgentEffect.Send(
        requester.peer(),
        new Message.DispatchRefused(requester.request(), attempt, reason, outcome, claim));
  }

  static AgentEffect reply(
      AgentState state, Requester requester, AttemptId attempt, FinishedAttempts.Result result) {
    if (result instanceof FinishedAttempts.Result.Answered answered) {
      return new AgentEffect.Send(
          requester.peer(),
          new Message.DispatchReply(
              requester.request(), attempt, answered.answer(), AgentStatus.currentLoad(state)));
    }
    FinishedAttempts.Result.Refused refused = (FinishedAttempts.Result.Refused) result;
    return refusal(requester, attempt, refused.reason(), refused.outcome(), refused.claim());
  }

  static AgentEffect cancelResult(
      PeerId peer, Message.CancelDispatch cancel, CancelOutcome outcome) {
    return new AgentEffect.Send(
        peer, new Message.CancelResult(cancel.request(), cancel.attempt(), outcome));
  }
}
