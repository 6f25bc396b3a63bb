package io.zinniawood.core.acceptance;

import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.core.runtime.Step;

/**
 * Turns edits of the configuration folder into accepted configurations. Each round reads the
 * accepted row, then the folder, and writes a valid changed merge as the next generation.
 */
public final class AcceptanceReducer
    implements Reducer<AcceptanceState, AcceptanceEvent, AcceptanceEffect> {

  @Override
  public Step<AcceptanceState, AcceptanceEffect> reduce(
      AcceptanceState state, long nowNanos, AcceptanceEvent event) {
    return event.accept(new EventHandler(state, nowNanos));
  }

  private record EventHandler(AcceptanceState state, long nowNanos)
      implements AcceptanceEventVisitor<Step<AcceptanceState, AcceptanceEffect>> {

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitStarted(AcceptanceEvent.Started event) {
      return Rounds.start(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitPollRequested(
        AcceptanceEvent.PollRequested event) {
      return Rounds.startOrRequest(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitTimerFired(
        AcceptanceEvent.TimerFired event) {
      return Rounds.timerFired(state, event.timer());
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitPollModeChanged(
        AcceptanceEvent.PollModeChanged event) {
      return Rounds.changePollMode(state, event.mode());
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitNeighbourOffered(
        AcceptanceEvent.NeighbourOffered event) {
      return AcceptedRowReads.peerConfigurationReceived(state, event.configuration());
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitRowRead(AcceptanceEvent.RowRead event) {
      return isCurrentRound(event.round())
          ? AcceptedRowReads.rowRead(state, event)
          : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitSnapshotRead(
        AcceptanceEvent.SnapshotRead event) {
      return isCurrentRound(event.round())
          ? AcceptedRowReads.snapshotRead(state, event)
          : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitFolderListed(
        AcceptanceEvent.FolderListed event) {
      return isCurrentRound(event.round())
          ? FolderReads.listed(state, nowNanos, event)
          : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitFileRead(AcceptanceEvent.FileRead event) {
      return isCurrentRound(event.round())
          ? FolderReads.fileRead(state, nowNanos, event)
          : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitMergeFinished(
        AcceptanceEvent.MergeFinished event) {
      return isCurrentRound(event.round())
          ? Proposals.mergeFinished(state, event.outcome())
          : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitSnapshotWritten(
        AcceptanceEvent.SnapshotWritten event) {
      return isCurrentRound(event.round()) ? Proposals.snapshotWritten(state) : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitRowWritten(
        AcceptanceEvent.RowWritten event) {
      return isCurrentRound(event.round())
          ? Proposals.rowWritten(state, event.version())
          : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitRowConflicted(
        AcceptanceEvent.RowConflicted event) {
      return isCurrentRound(event.round())
          ? Proposals.rowConflicted(state, event.present())
          : Step.of(state);
    }

    @Override
    public Step<AcceptanceState, AcceptanceEffect> visitStoreFailed(
        AcceptanceEvent.StoreFailed event) {
      return isCurrentRound(event.round())
          ? Proposals.storeFailed(state, event.failure())
          : Step.of(state);
    }

    /** Returns false for responses to earlier rounds, for example to one that timed out. */
    private boolean isCurrentRound(long round) {
      return round == state.round() && !(state.phase() instanceof AcceptancePhase.Idle);
    }
  }
}
