package io.zinniawood.core.id;

/**
 * Sequence number of a chain of one stage session; frames of older epochs are refused.
 *
 * @param value 1 for the first chain
 */
public record Epoch(long value) implements Comparable<Epoch> {
  @Override
  public int compareTo(Epoch other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
