package io.zinniawood.core.id;

/**
 * Identifies a pool: endpoints with the same model and layer range, or the same service.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record PoolId(String value) implements Comparable<PoolId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public PoolId {
    IdText.check("PoolId", value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
