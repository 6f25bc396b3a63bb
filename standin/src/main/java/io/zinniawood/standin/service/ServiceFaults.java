package io.zinniawood.standin.service;

/**
 * Fault switches of the service.
 *
 * @param down every call is answered with status 503 and books nothing
 * @param delayMillis added time between booking and response in milliseconds
 * @param cutAfterBooking number of bookings whose connection is cut without a response; -1 for all
 * @param silent calls are read and never answered, and book nothing
 */
public record ServiceFaults(boolean down, long delayMillis, int cutAfterBooking, boolean silent) {
  /** Returns the state without faults. */
  public static ServiceFaults none() {
    return new ServiceFaults(false, 0, 0, false);
  }

  /** Returns an outage. */
  public static ServiceFaults outage() {
    return new ServiceFaults(true, 0, 0, false);
  }

  /** Returns a slow service. */
  public static ServiceFaults delay(long delayMillis) {
    return new ServiceFaults(false, delayMillis, 0, false);
  }

  /** Returns a service that books and cuts the connection. */
  public static ServiceFaults lostResponses(int bookings) {
    return new ServiceFaults(false, 0, bookings, false);
  }

  /** Returns a service that never answers. */
  public static ServiceFaults silence() {
    return new ServiceFaults(false, 0, 0, true);
  }
}
