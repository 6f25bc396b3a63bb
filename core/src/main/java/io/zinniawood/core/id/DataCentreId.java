package io.zinniawood.core.id;

/**
 * Identifies a data centre.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public DataCentreId {
    IdText.check("DataCentreId", value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
