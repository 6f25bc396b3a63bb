package io.zinniawood.core.entry;

/**
 * Handles each type of effect.
 *
 * @param <R> result type
 */
public interface EntryEffectVisitor<R> {
  /** Handles a {@link EntryEffect.ReplyToken}. */
  R visitReplyToken(EntryEffect.ReplyToken effect);

  /** Handles a {@link EntryEffect.FinishAnswer}. */
  R visitFinishAnswer(EntryEffect.FinishAnswer effect);

  /** Handles a {@link EntryEffect.ReplyServiceAnswer}. */
  R visitReplyServiceAnswer(EntryEffect.ReplyServiceAnswer effect);

  /** Handles a {@link EntryEffect.ReplyProblem}. */
  R visitReplyProblem(EntryEffect.ReplyProblem effect);

  /** Handles a {@link EntryEffect.SendToAgent}. */
  R visitSendToAgent(EntryEffect.SendToAgent effect);

  /** Handles a {@link EntryEffect.ConnectAgent}. */
  R visitConnectAgent(EntryEffect.ConnectAgent effect);

  /** Handles a {@link EntryEffect.DisconnectAgent}. */
  R visitDisconnectAgent(EntryEffect.DisconnectAgent effect);

  /** Handles a {@link EntryEffect.ReleaseClaim}. */
  R visitReleaseClaim(EntryEffect.ReleaseClaim effect);

  /** Handles a {@link EntryEffect.ReadClaim}. */
  R visitReadClaim(EntryEffect.ReadClaim effect);

  /** Handles a {@link EntryEffect.ReadLease}. */
  R visitReadLease(EntryEffect.ReadLease effect);

  /** Handles a {@link EntryEffect.WriteLease}. */
  R visitWriteLease(EntryEffect.WriteLease effect);

  /** Handles a {@link EntryEffect.StartTimer}. */
  R visitStartTimer(EntryEffect.StartTimer effect);

  /** Handles a {@link EntryEffect.CancelTimer}. */
  R visitCancelTimer(EntryEffect.CancelTimer effect);

  /** Handles a {@link EntryEffect.SetReadiness}. */
  R visitSetReadiness(EntryEffect.SetReadiness effect);

  /** Handles a {@link EntryEffect.RecordResult}. */
  R visitRecordResult(EntryEffect.RecordResult effect);

  /** Handles a {@link EntryEffect.RecordIncident}. */
  R visitRecordIncident(EntryEffect.RecordIncident effect);

  /** Handles a {@link EntryEffect.StopProcess}. */
  R visitStopProcess(EntryEffect.StopProcess effect);
}
