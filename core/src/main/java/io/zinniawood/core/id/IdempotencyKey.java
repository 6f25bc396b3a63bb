package io.zinniawood.core.id;

/**
 * Idempotency key that a caller sent.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public IdempotencyKey {
    IdText.check("IdempotencyKey", value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
