package io.zinniawood.core.waiting;

/**
 * Request about which the forecast decides.
 *
 * @param nowNanos current monotonic time in nanoseconds
 * @param ahead requests that are sent before it
 * @param overtakersPerSecond rate at which more urgent requests arrive
 * @param group requests that wait alike: see {@link WaitingRequest#group}
 * @param inFlight requests of the service that this relay has sent and that have not ended
 * @param targetEndNanos monotonic time at which the target latency ends, in nanoseconds
 * @param deadlineNanos monotonic time at which the time limit ends, in nanoseconds
 */
public record WaitQuery(
    long nowNanos,
    int ahead,
    double overtakersPerSecond,
    int group,
    int inFlight,
    long targetEndNanos,
    long deadlineNanos) {
  /** Group of the requests that go first so that nobody is starved. */
  public static final int GUARANTEED = Integer.MIN_VALUE;
}
