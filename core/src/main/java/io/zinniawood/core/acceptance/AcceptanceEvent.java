package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/** Event that the acceptance reducer handles. */
public sealed interface AcceptanceEvent {
  /** Tells whether a listing has all files. */
  enum Completeness {
    /** The store states that no file is missing. */
    COMPLETE,
    /** Files may be missing. */
    PARTIAL
  }

  /** Calls the visitor's method for the type of this event. */
  <R> R accept(AcceptanceEventVisitor<R> visitor);

  /** The process started. */
  record Started() implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitStarted(this);
    }
  }

  /** A round should start now. */
  record PollRequested() implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitPollRequested(this);
    }
  }

  /**
   * A timer elapsed.
   *
   * @param timer the timer
   */
  record TimerFired(AcceptanceTimer timer) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitTimerFired(this);
    }
  }

  /**
   * The entry was chosen to read the folder, or is no longer.
   *
   * @param mode new mode
   */
  record PollModeChanged(PollMode mode) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitPollModeChanged(this);
    }
  }

  /**
   * A neighbour sent the configuration that it has in force.
   *
   * @param configuration configuration of the neighbour
   */
  record NeighbourOffered(AcceptedConfiguration configuration) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitNeighbourOffered(this);
    }
  }

  /**
   * The accepted row was read.
   *
   * @param round round that asked for it
   * @param row the row, none if it does not exist
   */
  record RowRead(long round, Option<VersionedRow> row) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitRowRead(this);
    }
  }

  /**
   * The snapshot of the accepted row was read.
   *
   * @param round round that asked for it
   * @param snapshot the snapshot, none if it is missing or damaged
   */
  record SnapshotRead(long round, Option<AcceptedSnapshot> snapshot) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitSnapshotRead(this);
    }
  }

  /**
   * The folder was listed.
   *
   * @param round round that asked for it
   * @param completeness whether the listing is complete
   * @param files listed files
   */
  record FolderListed(long round, Completeness completeness, Vector<FileVersion> files)
      implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitFolderListed(this);
    }
  }

  /**
   * A file was read.
   *
   * @param round round that asked for it
   * @param name file name
   * @param file the file, none if it does not exist
   */
  record FileRead(long round, String name, Option<FolderFile> file) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitFileRead(this);
    }
  }

  /**
   * The merge of the files ended.
   *
   * @param round round that asked for it
   * @param outcome result
   */
  record MergeFinished(long round, MergeOutcome outcome) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitMergeFinished(this);
    }
  }

  /**
   * The snapshot was written.
   *
   * @param round round that asked for it
   */
  record SnapshotWritten(long round) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitSnapshotWritten(this);
    }
  }

  /**
   * The row was written.
   *
   * @param round round that asked for it
   * @param version new version of the row
   */
  record RowWritten(long round, long version) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitRowWritten(this);
    }
  }

  /**
   * The row had another version than expected; nothing was written by this call.
   *
   * @param round round that asked for it
   * @param present row as it is, none if it does not exist
   */
  record RowConflicted(long round, Option<VersionedRow> present) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitRowConflicted(this);
    }
  }

  /**
   * A call to the table or the object store failed.
   *
   * @param round round that asked for it
   * @param failure the failure
   */
  record StoreFailed(long round, StoreFailure failure) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitStoreFailed(this);
    }
  }
}
