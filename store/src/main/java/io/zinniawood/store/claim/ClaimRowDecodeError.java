package io.zinniawood.store.claim;

/**
 * Reason why a table row is not a valid claim row.
 *
 * @param detail explanation for a person; holds no content of the stored answer
 */
public record ClaimRowDecodeError(String detail) {}
