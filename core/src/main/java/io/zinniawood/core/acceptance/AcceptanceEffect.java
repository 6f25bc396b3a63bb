package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.AcceptedConfiguration;

/** Side effect that the acceptance reducer requests. */
public sealed interface AcceptanceEffect {
  /** Calls the visitor's method for the type of this effect. */
  <R> R accept(AcceptanceEffectVisitor<R> visitor);

  /**
   * Reads the accepted row from the table.
   *
   * @param round round that the response has to carry
   */
  record ReadRow(long round) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitReadRow(this);
    }
  }

  /**
   * Reads a snapshot from the object store.
   *
   * @param round round that the response has to carry
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
   * @param round round that the response has to carry
   */
  record ListFolder(long round) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitListFolder(this);
    }
  }

  /**
   * Reads a file of the configuration folder.
   *
   * @param round round that the response has to carry
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
   * @param round round that the response has to carry
   * @param files files in the order of their names
   */
  record MergeFiles(long round, Vector<FolderFile> files) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitMergeFiles(this);
    }
  }

  /**
   * Writes a snapshot to the object store.
   *
   * @param round round that the response has to carry
   * @param objectName name of the object
   * @param snapshot content to write
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
   * @param round round that the response has to carry
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
   * Deletes a snapshot that the accepted row does not reference; a failure has no effect on the
   * round.
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
   * Passes a configuration to the process.
   *
   * @param configuration configuration of a higher generation than the one published before
   */
  record Publish(AcceptedConfiguration configuration) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitPublish(this);
    }
  }

  /**
   * Passes a notice to reports and logs.
   *
   * @param notice what was observed
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
   * @param timer timer to start
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
   * @param timer timer to cancel
   */
  record CancelTimer(AcceptanceTimer timer) implements AcceptanceEffect {
    @Override
    public <R> R accept(AcceptanceEffectVisitor<R> visitor) {
      return visitor.visitCancelTimer(this);
    }
  }
}
