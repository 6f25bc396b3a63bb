package io.zinniawood.core.id;

/**
 * Identifies an endpoint, the back end beside which one agent runs.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public EndpointId {
    IdText.check("EndpointId", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
