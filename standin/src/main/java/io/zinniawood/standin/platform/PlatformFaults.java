package io.zinniawood.standin.platform;

/**
 * Fault switches of one platform service.
 *
 * @param down every request is answered with status 503 and changes nothing
 * @param silent requests are read and never answered, and change nothing
 * @param latencyMillis added delay in milliseconds before a request takes effect
 * @param responseLatencyMillis added delay in milliseconds between the effect of a request and its
 *     response
 * @param loseResponses number of writes that take effect but whose connection is closed without a
 *     response; -1 for all
 * @param listings fault of object listings; null for none
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
    /** Listings omit every second object and are marked as incomplete. */
    MARKED,
    /** Listings omit every second object but are marked as complete. */
    UNMARKED
  }

  /** Replaces a null listing fault by {@link ListingFault#NONE}. */
  public PlatformFaults {
    listings = listings == null ? ListingFault.NONE : listings;
  }

  /** Returns settings without faults. */
  public static PlatformFaults none() {
    return new PlatformFaults(false, false, 0, 0, 0, ListingFault.NONE);
  }

  /** Returns a service that answers with status 503. */
  public static PlatformFaults outage() {
    return new PlatformFaults(true, false, 0, 0, 0, ListingFault.NONE);
  }

  /** Returns a service that reads requests but never answers. */
  public static PlatformFaults silence() {
    return new PlatformFaults(false, true, 0, 0, 0, ListingFault.NONE);
  }

  /** Returns a service with added latency. */
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
