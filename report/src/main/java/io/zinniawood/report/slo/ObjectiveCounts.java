package io.zinniawood.report.slo;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Counts of one objective by minute and by hour, both limited to the newest intervals. Counts of
 * several processes are added with {@link #plus}.
 *
 * @param objective name of the objective
 * @param minutes counts of the last minutes; the keys are minutes since 1970
 * @param hours counts of the last hours, including those in {@code minutes}; the keys are hours
 *     since 1970
 */
public record ObjectiveCounts(
    String objective,
    SortedMap<Long, RequestCounts> minutes,
    SortedMap<Long, RequestCounts> hours) {

  /** Minutes are needed for windows up to 6 h; 10 more allow for clock differences. */
  public static final int MAX_MINUTES = 6 * 60 + 10;

  /** The longest budget window is 92 days. */
  public static final int MAX_HOURS = 92 * 24 + 1;

  /** Returns counts without requests. */
  public static ObjectiveCounts empty(String objective) {
    return new ObjectiveCounts(objective, TreeMap.empty(), TreeMap.empty());
  }

  /** Returns a copy of these counts with one more request. */
  public ObjectiveCounts with(long epochMillis, Observation observation) {
    long minute = TimeUnit.MILLISECONDS.toMinutes(epochMillis);
    long hour = TimeUnit.MILLISECONDS.toHours(epochMillis);
    return new ObjectiveCounts(
            objective,
            minutes.put(minute, minutes.getOrElse(minute, RequestCounts.NONE).with(observation)),
            hours.put(hour, hours.getOrElse(hour, RequestCounts.NONE).with(observation)))
        .dropOldIntervals();
  }

  /** Returns the sum of the counts of two processes. */
  public ObjectiveCounts plus(ObjectiveCounts other) {
    return new ObjectiveCounts(
            objective,
            minutes.merge(other.minutes, RequestCounts::plus),
            hours.merge(other.hours, RequestCounts::plus))
        .dropOldIntervals();
  }

  /**
   * Returns the sum over a window that ends now. Windows up to 6 h are counted in whole minutes,
   * longer ones in whole hours.
   */
  public RequestCounts window(long nowEpochMillis, long windowMillis) {
    boolean exact = windowMillis <= TimeUnit.HOURS.toMillis(6);
    long unitMillis = exact ? 60_000 : 3_600_000;
    long last = nowEpochMillis / unitMillis;
    long first = last - windowMillis / unitMillis + 1;
    return (exact ? minutes : hours)
        .toVector()
        .filter(entry -> entry._1() >= first && entry._1() <= last)
        .foldLeft(RequestCounts.NONE, (sum, entry) -> sum.plus(entry._2()));
  }

  /** Drops the oldest intervals beyond {@link #MAX_MINUTES} and {@link #MAX_HOURS}. */
  private ObjectiveCounts dropOldIntervals() {
    return new ObjectiveCounts(
        objective, newestIntervals(minutes, MAX_MINUTES), newestIntervals(hours, MAX_HOURS));
  }

  private static SortedMap<Long, RequestCounts> newestIntervals(
      SortedMap<Long, RequestCounts> intervals, int maxIntervals) {
    if (intervals.isEmpty()) {
      return intervals;
    }
    long first = intervals.last()._1() - maxIntervals + 1;
    return intervals.head()._1() >= first ? intervals : intervals.filterKeys(key -> key >= first);
  }
}
