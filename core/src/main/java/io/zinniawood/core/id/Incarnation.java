package io.zinniawood.core.id;

/**
 * Distinguishes the runs of one agent; drawn at random when the agent starts.
 *
 * @param value random 64-bit number
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
