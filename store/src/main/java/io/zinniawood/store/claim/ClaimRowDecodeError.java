package io.zinniawood.store.claim;

/**
 * Reason why a table row is not a valid claim row.
 *
 * @param detail human-readable description; contains no part of the stored answer
 */
public record ClaimRowDecodeError(String detail) {}
