package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/** Effect that the shell of the acceptance carries out. */
public sealed interface AcceptanceEffect {
  /** Calls the visitor's method for the type of this effect. */
  <R> R accept(AcceptanceEffectVisitor<R> visitor);

  /**
   * Reads the accepted row.
   *
   * @param round round to name in the response
   */
  record ReadRow(long round) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitReadRow(this);
    }
  }

  /**
   * Reads a snapshot.
   *
   * @param round round to name in the response
   * @param objectName name of the object
   */
  record ReadSnapshot(long round, String objectName) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitReadSnapshot(this);
    }
  }

  /**
   * Lists the configuration folder.
   *
   * @param round round to name in the response
   */
  record ListFolder(long round) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitListFolder(this);
    }
  }

  /**
   * Reads a configuration file.
   *
   * @param round round to name in the response
   * @param name file name without the folder
   */
  record ReadFile(long round, String name) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitReadFile(this);
    }
  }

  /**
   * Merges and validates files.
   *
   * @param round round to name in the response
   * @param files files in the order of their names
   */
  record MergeFiles(long round, Vector<FolderFile> files) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitMergeFiles(this);
    }
  }

  /**
   * Writes a snapshot.
   *
   * @param round round to name in the response
   * @param objectName name of the object
   * @param snapshot the snapshot
   */
  record WriteSnapshot(long round, String objectName, AcceptedSnapshot snapshot)
      implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitWriteSnapshot(this);
    }
  }

  /**
   * Writes the accepted row if its version is as expected.
   *
   * @param round round to name in the response
   * @param expectedVersion version that the row must have, 0 if it must not exist
   * @param row new row
   */
  record WriteRow(long round, long expectedVersion, AcceptedRow row) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitWriteRow(this);
    }
  }

  /**
   * Deletes a snapshot that no row names; a failure is ignored.
   *
   * @param objectName name of the object
   */
  record DeleteSnapshot(String objectName) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitDeleteSnapshot(this);
    }
  }

  /**
   * Hands a configuration of a higher generation to the process.
   *
   * @param configuration the configuration
   */
  record Publish(AcceptedConfiguration configuration) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitPublish(this);
    }
  }

  /**
   * Records an observation for reports and logs.
   *
   * @param notice the observation
   */
  record Notify(AcceptanceNotice notice) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitNotify(this);
    }
  }

  /**
   * Starts or restarts a timer.
   *
   * @param timer the timer
   * @param delayNanos delay in nanoseconds
   */
  record StartTimer(AcceptanceTimer timer, long delayNanos) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitStartTimer(this);
    }
  }

  /**
   * Cancels a timer.
   *
   * @param timer the timer
   */
  record CancelTimer(AcceptanceTimer timer) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitCancelTimer(this);
    }
  }
}
