package io.zinniawood.core.id;

/**
 * Sequence number of the holder of the controller lease; an order with a lower number than one seen
 * before is refused.
 *
 * @param value increases with each takeover
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {
  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
