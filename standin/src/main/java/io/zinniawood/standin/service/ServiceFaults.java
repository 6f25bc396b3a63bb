package io.zinniawood.standin.service;

/**
 * Fault switches of a plain service.
 *
 * @param down every call is answered with status 503 and books nothing
 * @param delayMillis added delay in milliseconds between booking and response
 * @param cutAfterBooking number of bookings whose connection is closed without a response; -1 for
 *     all
 * @param silent calls are read and never answered, and book nothing
 */
public record ServiceFaults(boolean down, long delayMillis, int cutAfterBooking, boolean silent) {
  /** Returns settings without faults. */
  public static ServiceFaults none() {
    return new ServiceFaults(false, 0, 0, false);
  }

  /** Returns a service that answers with status 503. */
  public static ServiceFaults outage() {
    return new ServiceFaults(true, 0, 0, false);
  }

  /** Returns a service whose responses are delayed. */
  public static ServiceFaults delay(long delayMillis) {
    return new ServiceFaults(false, delayMillis, 0, false);
  }

  /** Returns a service that loses the responses to the next bookings; -1 for all. */
  public static ServiceFaults lostResponses(int bookings) {
    return new ServiceFaults(false, 0, bookings, false);
  }

  /** Returns a service that reads calls but never answers. */
  public static ServiceFaults silence() {
    return new ServiceFaults(false, 0, 0, true);
  }
}
