package io.zinniawood.core.id;

/**
 * Identifies a client account.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public ClientAccountId {
    IdText.check("ClientAccountId", value);
  }

  @Override
  public int compareTo(ClientAccountId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
