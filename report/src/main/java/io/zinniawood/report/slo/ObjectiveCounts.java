package io.zinniawood.report.slo;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Counts of one objective in two bounded rings. Counts of several processes are added with {@link
 * #plus}.
 *
 * @param objective name of the objective
 * @param minutes counts of the last minutes by minutes since 1970
 * @param hours counts of the last hours by hours since 1970, with those of the minutes
 */
public record ObjectiveCounts(
    String objective,
    SortedMap<Long, RequestCounts> minutes,
    SortedMap<Long, RequestCounts> hours) {

  /** The longest window that needs minutes is 6 h; the rest covers clocks that differ. */
  public static final int MAX_MINUTES = 6 * 60 + 10;

  /** The longest budget window is 92 days. */
  public static final int MAX_HOURS = 92 * 24 + 1;

  /** Returns the counts without requests. */
  public static ObjectiveCounts empty(String objective) {
    return new ObjectiveCounts(objective, TreeMap.empty(), TreeMap.empty());
  }

  /** Returns these counts with one more request. */
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
   * Returns the sum over a window that ends now. Windows up to 6 h are exact to the minute, longer
   * ones to the hour.
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

  /** Drops the oldest intervals beyond the bounds. */
  private ObjectiveCounts dropOldIntervals() {
    return new ObjectiveCounts(
        objective, newestIntervals(minutes, MAX_MINUTES), newestIntervals(hours, MAX_HOURS));
  }

  private static SortedMap<Long, RequestCounts> newestIntervals(
      SortedMap<Long, RequestCounts> ring, int most) {
    if (ring.isEmpty()) {
      return ring;
    }
    long first = ring.last()._1() - most + 1;
    return ring.head()._1() >= first ? ring : ring.filterKeys(key -> key >= first);
  }
}
