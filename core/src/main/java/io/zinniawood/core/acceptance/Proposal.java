package io.zinniawood.core.acceptance;

/**
 * New generation: a snapshot, and the row that references it and puts it in force.
 *
 * @param expectedVersion version that the table row must have, 0 if it must not exist
 * @param row new content of the row
 * @param snapshot content of the object that the row references
 */
public record Proposal(long expectedVersion, AcceptedRow row, AcceptedSnapshot snapshot) {}
