package io.zinniawood.core.relay;

/**
 * Identifies a request within one run of a relay process.
 *
 * @param value sequence number, from 1
 */
public record RelayRequestId(long value) implements Comparable<RelayRequestId> {
  @Override
  public int compareTo(RelayRequestId other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
