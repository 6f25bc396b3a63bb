package io.zinniawood.core.id;

/**
 * Identifies one request of a caller, unique over all entries.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public RequestId {
    IdText.check("RequestId", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
