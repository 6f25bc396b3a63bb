package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/** Event that the acceptance reducer handles. */
public sealed interface AcceptanceEvent {
  /** Whether a listing contains all files of the folder. */
  enum Completeness {
    /** The store reported that no file is missing. */
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

  /** The process requested a round without waiting for the poll timer. */
  record PollRequested() implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitPollRequested(this);
    }
  }

  /**
   * A timer elapsed.
   *
   * @param timer timer that elapsed
   */
  record TimerFired(AcceptanceTimer timer) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitTimerFired(this);
    }
  }

  /**
   * The entry was selected to read the folder, or no longer is.
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
   * A peer sent the configuration that it has in force.
   *
   * @param configuration configuration of the peer
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
   * @param round round that requested the operation
   * @param version version of the row, or of a row that does not exist in the era of the store
   * @param row content and version, none if the row does not exist
   */
  record RowRead(long round, long version, Option<VersionedRow> row) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitRowRead(this);
    }
  }

  /**
   * The snapshot of the accepted row was read.
   *
   * @param round round that requested the operation
   * @param snapshot content, none if the object is missing or cannot be decoded
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
   * @param round round that requested the operation
   * @param completeness whether the listing contains all files
   * @param files names and versions in the listing
   */
  record FolderListed(long round, Completeness completeness, Vector<FileVersion> files)
      implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitFolderListed(this);
    }
  }

  /**
   * A read of a file ended.
   *
   * @param round round that requested the operation
   * @param name file name without the folder
   * @param file content and version, none if the file does not exist
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
   * @param round round that requested the operation
   * @param outcome merged configuration or its faults
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
   * @param round round that requested the operation
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
   * @param round round that requested the operation
   * @param version new version of the row
   */
  record RowWritten(long round, long version) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitRowWritten(this);
    }
  }

  /**
   * The row had another version than expected, so this call wrote nothing.
   *
   * @param round round that requested the operation
   * @param present row in the table, none if it does not exist
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
   * @param round round that requested the operation
   * @param failure kind and detail of the failure
   */
  record StoreFailed(long round, StoreFailure failure) implements AcceptanceEvent {
    @Override
    public <R> R accept(AcceptanceEventVisitor<R> visitor) {
      return visitor.visitStoreFailed(this);
    }
  }
}
