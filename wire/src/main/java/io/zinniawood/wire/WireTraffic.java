package io.zinniawood.wire;

/**
 * Traffic of a process since its start, without the headers of TCP and IP.
 *
 * @param receivedBytes bytes received
 * @param sentBytes bytes sent
 * @param receivedFrames reads from connections; each had at least one TCP segment
 * @param sentFrames flushed writes to connections
 */
public record WireTraffic(
    long receivedBytes, long sentBytes, long receivedFrames, long sentFrames) {
  /** Returns the traffic of a process that has no connections. */
  public static WireTraffic none() {
    return new WireTraffic(0, 0, 0, 0);
  }
}
