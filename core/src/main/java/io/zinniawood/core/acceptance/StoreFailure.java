package io.zinniawood.core.acceptance;

/**
 * Failure of a call to the table or the object store.
 *
 * @param kind whether the call may have taken effect
 * @param detail explanation for the operator
 */
public record StoreFailure(Kind kind, String detail) {
  /** What the failure says about the state of the store. */
  public enum Kind {
    /** The call had no effect on the store. */
    UNAVAILABLE,
    /** The response was lost; a write may have taken effect. */
    RESPONSE_LOST,
    /** The store or a codec rejected the content. */
    REJECTED
  }
}
