package io.zinniawood.core.acceptance;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.model.PackedStoreVersion;

/**
 * Content of the table row {@code config/accepted}.
 *
 * @param generation generation in force
 * @param digest SHA-256 of the merged text in hexadecimal
 * @param objectName name of the object that holds the snapshot
 * @param attempt unique id of this write; shows the writer whether its write took effect after the
 *     response was lost
 */
public record AcceptedRow(
    Generation generation, String digest, String objectName, AttemptId attempt) {
  /** Returns the era of the store in which the row was accepted. */
  long era() {
    return PackedStoreVersion.era(generation.value());
  }
}
