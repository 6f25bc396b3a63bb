package io.zinniawood.core.id;

/**
 * Sequence number of an accepted configuration; a node changes only to a higher one.
 *
 * @param value 0 before the first accepted configuration
 */
public record Generation(long value) implements Comparable<Generation> {
  @Override
  public int compareTo(Generation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
