package io.zinniawood.core.waiting;

import io.zinniawood.core.rate.DecayingRate;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Predicts how long requests of a service wait for capacity, from the rate at which requests end.
 * Designed for a demand of up to three times the capacity, with at most 512 waiting requests and
 * from about two ends a second on.
 */
public final class WaitForecast {
  /** Ends before which the rate is unknown; the spacing of fewer is dominated by chance. */
  private static final int MIN_ENDS = 5;

  /** Mean age of the ends and arrivals that count, a few times the usual target latency. */
  private static final double MEAN_AGE_SECONDS = 2;

  private static final double NEW_SAMPLE_WEIGHT = 0.1;

  /** Share of the time left that a late request may wait; the rest is for its answer. */
  private static final double MAX_LATE_WAIT_SHARE = 0.5;

  /** Share of a Retry-After that is added at random, which spreads the returning callers. */
  private static final double RETRY_SPREAD_SHARE = 0.25;

  /** Share of the caller's time left that a Retry-After may take, so that a repeat is in time. */
  private static final double MAX_RETRY_SHARE = 1.0 / 3;

  /** Retry-After, in milliseconds, below which a caller would return within a few ticks. */
  private static final double MIN_RETRY_MILLIS = 100;

  /**
   * Weights of a measured wait that is longer or shorter than predicted. Their ratio makes four of
   * five predictions long enough; a mean would let half of the requests start late.
   */
  private static final double LONGER_WEIGHT = 0.2;

  private static final double SHORTER_WEIGHT = 0.05;

  private static final double MIN_CORRECTION = 0.5;
  private static final double MAX_CORRECTION = 4;

  /** Added to waits before they are compared; two ticks, by which short waits differ anyway. */
  private static final double TICKS_MILLIS = 50;

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final double MILLIS_PER_SECOND = 1_000;

  private final DecayingRate ends = new DecayingRate(MEAN_AGE_SECONDS);
  private final DecayingRate arrivals = new DecayingRate(MEAN_AGE_SECONDS);
  private int endsSeen;
  private double durationMillis;
  private final NavigableMap<Integer, Double> correctionsByGroup = new TreeMap<>();
  private double firstEventMillis;

  /** Records a request that arrived. */
  public void arrived(long nowNanos) {
    arrivals.add(nowNanos);
  }

  /**
   * Records a request that was sent.
   *
   * @param expectedFirstEventMillis expected time to its first event or answer, in milliseconds
   */
  public void sent(double expectedFirstEventMillis) {
    firstEventMillis += NEW_SAMPLE_WEIGHT * (expectedFirstEventMillis - firstEventMillis);
  }

  /**
   * Records a request that ended and whose capacity is free.
   *
   * @param inUseMillis time for which it used the capacity, in milliseconds
   */
  public void ended(long nowNanos, double inUseMillis) {
    ends.add(nowNanos);
    endsSeen = Math.min(MIN_ENDS, endsSeen + 1);
    durationMillis +=
        (durationMillis == 0 ? 1 : NEW_SAMPLE_WEIGHT) * (Math.max(1, inUseMillis) - durationMillis);
  }

  /**
   * Records how long a request waited that was sent. Requests that return, go first for their
   * account or have a path of their own make the wait differ from the prediction.
   *
   * @param predictedMillis wait that was predicted when it arrived, in milliseconds
   */
  public void waited(int group, double predictedMillis, double waitedMillis) {
    double correction = correctionsByGroup.getOrDefault(group, 1.0);
    double sample = correction * (waitedMillis + TICKS_MILLIS) / (predictedMillis + TICKS_MILLIS);
    double weight = sample > correction ? LONGER_WEIGHT : SHORTER_WEIGHT;
    double corrected = correction + weight * (sample - correction);
    correctionsByGroup.put(group, Math.max(MIN_CORRECTION, Math.min(MAX_CORRECTION, corrected)));
  }

  /** Returns whether enough requests have ended for a forecast. */
  public boolean rateKnown() {
    return endsSeen >= MIN_ENDS;
  }

  /**
   * Returns the rate at which capacity becomes free. After a time of low demand few requests have
   * ended although the requests in flight will end soon, so their number and mean duration count if
   * they give a higher rate.
   */
  double endsPerSecond(long nowNanos, int inFlight) {
    return Math.max(
        ends.perSecond(nowNanos), inFlight * MILLIS_PER_SECOND / Math.max(1, durationMillis));
  }

  /** Returns the predicted time until a request is sent, in milliseconds; may be infinite. */
  public double waitMillis(WaitQuery query) {
    double rate = endsPerSecond(query.nowNanos(), query.inFlight());
    if (query.ahead() == 0) {
      return 0;
    }
    // While it waits, more urgent requests arrive and overtake it up to the bound.
    double overtakerShare = Math.min(1, query.overtakersPerSecond() / rate);
    double overtakers =
        Math.min(UrgencyOrder.MAX_OVERTAKEN, query.ahead() * overtakerShare / (1 - overtakerShare));
    return (query.ahead() + overtakers) / rate * MILLIS_PER_SECOND * correction(query.group());
  }

  /** Returns the correction of a group; no less urgent group is predicted a shorter wait. */
  private double correction(int group) {
    return group == WaitQuery.GUARANTEED
        ? correctionsByGroup.getOrDefault(group, 1.0)
        : correctionsByGroup.subMap(WaitQuery.GUARANTEED, false, group, true).values().stream()
            .mapToDouble(Double::doubleValue)
            .max()
            .orElse(1);
  }

  /** Decides whether a request waits. */
  public WaitVerdict decide(WaitQuery query) {
    if (!rateKnown()) {
      return WaitVerdict.UNKNOWN;
    }
    double waitMillis = waitMillis(query);
    if (waitMillis <= targetLeftMillis(query)) {
      return WaitVerdict.IN_TIME;
    }
    boolean shrinking =
        arrivals.perSecond(query.nowNanos()) < endsPerSecond(query.nowNanos(), query.inFlight());
    return shrinking && withinLimit(query) ? WaitVerdict.LATE : WaitVerdict.REFUSE;
  }

  /** Returns whether a request can be sent well within its time limit. */
  public boolean withinLimit(WaitQuery query) {
    return waitMillis(query) / correction(query.group())
        < MAX_LATE_WAIT_SHARE * limitLeftMillis(query);
  }

  /**
   * Returns the Retry-After of a refusal, in milliseconds: the predicted time until the queue is
   * short enough; at least 1.
   *
   * @param draw random number from 0 to 1, exclusive
   */
  public long retryAfterMillis(WaitQuery query, double draw) {
    double shortEnoughMillis =
        Math.max(MIN_RETRY_MILLIS, waitMillis(query) - Math.max(0, targetLeftMillis(query)));
    double spreadMillis = shortEnoughMillis * (1 + RETRY_SPREAD_SHARE * draw);
    double maxMillis = MAX_RETRY_SHARE * limitLeftMillis(query);
    return (long) Math.max(1, Math.min(spreadMillis, maxMillis));
  }

  private double targetLeftMillis(WaitQuery query) {
    return (query.targetEndNanos() - query.nowNanos()) / NANOS_PER_MILLI - firstEventMillis;
  }

  private static double limitLeftMillis(WaitQuery query) {
    return (query.deadlineNanos() - query.nowNanos()) / NANOS_PER_MILLI;
  }
}
