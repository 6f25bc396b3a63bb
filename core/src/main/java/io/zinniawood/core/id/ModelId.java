package io.zinniawood.core.id;

/**
 * Identifies a model.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record ModelId(String value) implements Comparable<ModelId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public ModelId {
    IdText.check("ModelId", value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
