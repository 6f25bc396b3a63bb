package io.zinniawood.core.acceptance;

/**
 * Carries out each type of acceptance effect.
 *
 * @param <R> result type
 */
public interface AcceptanceEffectVisitor<R> {
  /** Visits {@link AcceptanceEffect.ReadRow}. */
  R visitReadRow(AcceptanceEffect.ReadRow effect);

  /** Visits {@link AcceptanceEffect.ReadSnapshot}. */
  R visitReadSnapshot(AcceptanceEffect.ReadSnapshot effect);

  /** Visits {@link AcceptanceEffect.ListFolder}. */
  R visitListFolder(AcceptanceEffect.ListFolder effect);

  /** Visits {@link AcceptanceEffect.ReadFile}. */
  R visitReadFile(AcceptanceEffect.ReadFile effect);

  /** Visits {@link AcceptanceEffect.MergeFiles}. */
  R visitMergeFiles(AcceptanceEffect.MergeFiles effect);

  /** Visits {@link AcceptanceEffect.WriteSnapshot}. */
  R visitWriteSnapshot(AcceptanceEffect.WriteSnapshot effect);

  /** Visits {@link AcceptanceEffect.WriteRow}. */
  R visitWriteRow(AcceptanceEffect.WriteRow effect);

  /** Visits {@link AcceptanceEffect.DeleteSnapshot}. */
  R visitDeleteSnapshot(AcceptanceEffect.DeleteSnapshot effect);

  /** Visits {@link AcceptanceEffect.Publish}. */
  R visitPublish(AcceptanceEffect.Publish effect);

  /** Visits {@link AcceptanceEffect.Notify}. */
  R visitNotify(AcceptanceEffect.Notify effect);

  /** Visits {@link AcceptanceEffect.StartTimer}. */
  R visitStartTimer(AcceptanceEffect.StartTimer effect);

  /** Visits {@link AcceptanceEffect.CancelTimer}. */
  R visitCancelTimer(AcceptanceEffect.CancelTimer effect);
}
