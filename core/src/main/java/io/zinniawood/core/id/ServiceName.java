package io.zinniawood.core.id;

/**
 * Names a plain service.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public ServiceName {
    IdText.check("ServiceName", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
