package io.zinniawood.wire;

/**
 * Traffic of all connections of a transport, without TCP and IP headers.
 *
 * @param receivedFrames number of reads from sockets; each read had at least one TCP segment
 * @param sentFrames number of flushes to sockets
 */
public record WireTraffic(
    long receivedBytes, long sentBytes, long receivedFrames, long sentFrames) {
  /** Returns counts of zero. */
  public static WireTraffic none() {
    return new WireTraffic(0, 0, 0, 0);
  }
}
