package io.zinniawood.core.acceptance;

/**
 * Handles each type of acceptance event.
 *
 * @param <R> result type
 */
public interface AcceptanceEventVisitor<R> {
  /** Visits {@link AcceptanceEvent.Started}. */
  R visitStarted(AcceptanceEvent.Started event);

  /** Visits {@link AcceptanceEvent.PollRequested}. */
  R visitPollRequested(AcceptanceEvent.PollRequested event);

  /** Visits {@link AcceptanceEvent.TimerFired}. */
  R visitTimerFired(AcceptanceEvent.TimerFired event);

  /** Visits {@link AcceptanceEvent.PollModeChanged}. */
  R visitPollModeChanged(AcceptanceEvent.PollModeChanged event);

  /** Visits {@link AcceptanceEvent.NeighbourOffered}. */
  R visitNeighbourOffered(AcceptanceEvent.NeighbourOffered event);

  /** Visits {@link AcceptanceEvent.RowRead}. */
  R visitRowRead(AcceptanceEvent.RowRead event);

  /** Visits {@link AcceptanceEvent.SnapshotRead}. */
  R visitSnapshotRead(AcceptanceEvent.SnapshotRead event);

  /** Visits {@link AcceptanceEvent.FolderListed}. */
  R visitFolderListed(AcceptanceEvent.FolderListed event);

  /** Visits {@link AcceptanceEvent.FileRead}. */
  R visitFileRead(AcceptanceEvent.FileRead event);

  /** Visits {@link AcceptanceEvent.MergeFinished}. */
  R visitMergeFinished(AcceptanceEvent.MergeFinished event);

  /** Visits {@link AcceptanceEvent.SnapshotWritten}. */
  R visitSnapshotWritten(AcceptanceEvent.SnapshotWritten event);

  /** Visits {@link AcceptanceEvent.RowWritten}. */
  R visitRowWritten(AcceptanceEvent.RowWritten event);

  /** Visits {@link AcceptanceEvent.RowConflicted}. */
  R visitRowConflicted(AcceptanceEvent.RowConflicted event);

  /** Visits {@link AcceptanceEvent.StoreFailed}. */
  R visitStoreFailed(AcceptanceEvent.StoreFailed event);
}
