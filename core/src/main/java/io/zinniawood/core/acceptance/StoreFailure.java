package io.zinniawood.core.acceptance;

/**
 * Failure of a call to the table or the object store.
 *
 * @param kind kind
 * @param detail explanation for a person
 */
public record StoreFailure(Kind kind, String detail) {
  /** Kind of a failure. */
  public enum Kind {
    /** Nothing changed in the store. */
    UNAVAILABLE,
    /** The response was lost; a write may have taken effect. */
    RESPONSE_LOST,
    /** The store or a codec refused the content. */
    REJECTED
  }
}
