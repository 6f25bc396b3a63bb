package io.zinniawood.core.id;

/**
 * Identifies a stage session of one model request.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record SessionId(String value) implements Comparable<SessionId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public SessionId {
    IdText.check("SessionId", value);
  }

  @Override
  public int compareTo(SessionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
