package io.zinniawood.core.id;

/**
 * Names a kind of accelerator.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record AcceleratorKind(String value) implements Comparable<AcceleratorKind> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public AcceleratorKind {
    IdText.check("AcceleratorKind", value);
  }

  @Override
  public int compareTo(AcceleratorKind other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
