package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.CancelOutcome;
import io.zinniawood.core.model.ClaimRow;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.RefusalReason;

/** Builds the replies of the gate. */
final class Replies {
  private Replies() {}

  static AgentEffect refusal(
      PeerId peer,
      Message.Dispatch work,
      RefusalReason reason,
      Outcome outcome,
      Option<ClaimRow> claim) {
    return new AgentEffect.Send(
        peer, new Message.DispatchRefused(work.request(), work.attempt(), reason, outcome, claim));
  }

  static AgentEffect result(
      AgentState state, PeerId peer, Message.Dispatch work, FinishedAttempts.Result result) {
    if (result instanceof FinishedAttempts.Result.Answered answered) {
      return new AgentEffect.Send(
          peer,
          new Message.DispatchReply(
              work.request(), work.attempt(), answered.answer(), Statuses.load(state)));
    }
    FinishedAttempts.Result.Refused refused = (FinishedAttempts.Result.Refused) result;
    return refusal(peer, work, refused.reason(), refused.outcome(), refused.claim());
  }

  static AgentEffect cancelled(PeerId peer, Message.CancelDispatch cancel, CancelOutcome outcome) {
    return new AgentEffect.Send(
        peer, new Message.CancelResult(cancel.request(), cancel.attempt(), outcome));
  }
}
