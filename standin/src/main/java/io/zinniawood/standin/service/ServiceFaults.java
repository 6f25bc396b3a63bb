package io.zinniawood.standin.service;

/**
 * Fault switches of a plain service.
 *
 * @param down every call is answered with status 503 and books nothing
 * @param delayMillis added delay in milliseconds between booking and response
 * @param cutAfterBooking number of bookings whose connection is closed without a response; -1 for
 *     all
 * @param silent calls are read and never answered, and book nothing
 * @param requestLimit calls a second that each answer names as the limit; 0 for no limit
 */
public record ServiceFaults(
    boolean down, long delayMillis, int cutAfterBooking, boolean silent, double requestLimit) {
  /** Returns settings without faults. */
  public static ServiceFaults none() {
    return new ServiceFaults(false, 0, 0, false, 0);
  }

  /** Returns a service that answers with status 503. */
  public static ServiceFaults outage() {
    return new ServiceFaults(true, 0, 0, false, 0);
  }

  /** Returns a service whose responses are delayed. */
  public static ServiceFaults delay(long delayMillis) {
    return new ServiceFaults(false, delayMillis, 0, false, 0);
  }

  /** Returns a service that loses the responses to the next bookings; -1 for all. */
  public static ServiceFaults lostResponses(int bookings) {
    return new ServiceFaults(false, 0, bookings, false, 0);
  }

  /** Returns a service that reads calls but never answers. */
  public static ServiceFaults silence() {
    return new ServiceFaults(false, 0, 0, true, 0);
  }

  /** Returns a service that names the calls a second that it takes. */
  public static ServiceFaults limit(double requestLimit) {
    return new ServiceFaults(false, 0, 0, false, requestLimit);
  }
}
