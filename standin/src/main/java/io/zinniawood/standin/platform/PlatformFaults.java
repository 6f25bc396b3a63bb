package io.zinniawood.standin.platform;

/**
 * Fault switches of one platform service.
 *
 * @param down every request is answered with status 503 and changes nothing
 * @param silent requests are read and never answered, and change nothing
 * @param latencyMillis added time before a request takes effect in milliseconds
 * @param responseLatencyMillis added time between the effect of a request and its response
 * @param loseResponses number of writes that take effect without a response, as the connection is
 *     cut; -1 for all
 * @param listings fault of object listings, null for none
 */
public record PlatformFaults(
    boolean down,
    boolean silent,
    long latencyMillis,
    long responseLatencyMillis,
    int loseResponses,
    ListingFault listings) {
  /** Fault of object listings. */
  public enum ListingFault {
    /** Listings are complete. */
    NONE,
    /** Listings omit every second object and say so. */
    MARKED,
    /** Listings omit every second object and claim to be complete. */
    UNMARKED
  }

  /** Replaces a missing listing fault by none. */
  public PlatformFaults {
    listings = listings == null ? ListingFault.NONE : listings;
  }

  /** Returns the state without faults. */
  public static PlatformFaults none() {
    return new PlatformFaults(false, false, 0, 0, 0, ListingFault.NONE);
  }

  /** Returns an outage. */
  public static PlatformFaults outage() {
    return new PlatformFaults(true, false, 0, 0, 0, ListingFault.NONE);
  }

  /** Returns a service that reads requests and never answers. */
  public static PlatformFaults silence() {
    return new PlatformFaults(false, true, 0, 0, 0, ListingFault.NONE);
  }

  /** Returns a slow service. */
  public static PlatformFaults slow(long latencyMillis) {
    return new PlatformFaults(false, false, latencyMillis, 0, 0, ListingFault.NONE);
  }

  /** Returns a service that loses the responses of the next writes. */
  public static PlatformFaults lostResponses(int count) {
    return new PlatformFaults(false, false, 0, 0, count, ListingFault.NONE);
  }

  /** Returns a service whose listings have a fault. */
  public static PlatformFaults listings(ListingFault fault) {
    return new PlatformFaults(false, false, 0, 0, 0, fault);
  }

  PlatformFaults withLoseResponses(int count) {
    return new PlatformFaults(down, silent, latencyMillis, responseLatencyMillis, count, listings);
  }
}
