package io.zinniawood.core.id;

/**
 * Number of releases of an idempotency key; an attempt may claim the key only with the current
 * fence.
 *
 * @param value 0 before the first release
 */
public record Fence(long value) implements Comparable<Fence> {
  @Override
  public int compareTo(Fence other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
