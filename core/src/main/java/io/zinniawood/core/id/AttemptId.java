package io.zinniawood.core.id;

/**
 * Identifies one attempt to run a request, unique over all entries.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public AttemptId {
    IdText.check("AttemptId", value);
  }

  @Override
  public int compareTo(AttemptId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
