package io.zinniawood.core.id;

/**
 * Numbers the chains of one stage session; a frame of an older epoch is refused.
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
