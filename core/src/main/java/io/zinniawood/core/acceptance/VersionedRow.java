package io.zinniawood.core.acceptance;

/**
 * Accepted row with its version in the table.
 *
 * @param version version of the table row, at least 1
 * @param row content of the table row
 */
public record VersionedRow(long version, AcceptedRow row) {}
