package io.zinniawood.core.id;

/**
 * Identifies a VM in the platform's VM list.
 *
 * @param value non-blank text, at most {@value IdText#MAX_CHARACTERS} characters
 */
public record VmId(String value) implements Comparable<VmId> {
  /** Checks the value; throws {@link IllegalArgumentException} if it is blank or too long. */
  public VmId {
    IdText.check("VmId", value);
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
