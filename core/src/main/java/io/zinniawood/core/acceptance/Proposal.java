package io.zinniawood.core.acceptance;

/**
 * Acceptance that is being written.
 *
 * @param expectedVersion version that the table row must have, 0 if it must not exist
 * @param row new row
 * @param snapshot snapshot that the row names
 */
public record Proposal(long expectedVersion, AcceptedRow row, AcceptedSnapshot snapshot) {}
