package io.zinniawood.core.acceptance;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Generation;

/**
 * Row {@code config/accepted} of the table.
 *
 * @param generation generation in force
 * @param digest SHA-256 of the merged text in hexadecimal
 * @param objectName name of the object that holds the snapshot
 * @param attempt unique id of the acceptance, compared after a lost response
 */
public record AcceptedRow(
    Generation generation, String digest, String objectName, AttemptId attempt) {}
