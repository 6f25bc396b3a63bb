package io.zinniawood.entry.reporting;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.report.slo.RequestCounts;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/**
 * Joins old intervals of counts, as the object of a data centre is read and written every 30 s.
 * With 16 objectives and 28 days it had 1.57 MB without this.
 */
final class CoarseCounts {
  /** The windows up to 1 h stay exact to the minute; a joined interval ends 9 min later at most. */
  private static final long EXACT_MINUTES = 70;

  /** The alert and the plot over 3 days stay exact to the hour; a joined one ends 23 h later. */
  private static final long EXACT_HOURS = 96;

  private CoarseCounts() {}

  /** Returns the counts with old minutes joined by ten and old hours joined by day. */
  static ObjectiveCounts of(ObjectiveCounts counts, long nowEpochMillis) {
    long minute = TimeUnit.MILLISECONDS.toMinutes(nowEpochMillis) - EXACT_MINUTES;
    long hour = TimeUnit.MILLISECONDS.toHours(nowEpochMillis) - EXACT_HOURS;
    return new ObjectiveCounts(
        counts.objective(),
        joined(
            counts.minutes().mapValues(CoarseCounts::withoutCauses),
            key -> key < minute ? key / 10 * 10 + 9 : key),
        joined(counts.hours(), key -> key < hour ? key / 24 * 24 + 23 : key));
  }

  /** The reports take causes from the hours only. */
  private static RequestCounts withoutCauses(RequestCounts found) {
    return new RequestCounts(
        found.requests(),
        found.notAnswered(),
        found.unknown(),
        found.measured(),
        found.late(),
        TreeMap.empty(),
        TreeMap.empty());
  }

  private static SortedMap<Long, RequestCounts> joined(
      SortedMap<Long, RequestCounts> ring, LongUnaryOperator key) {
    TreeMap<Long, RequestCounts> result = TreeMap.empty();
    for (var interval : ring) {
      long target = key.applyAsLong(interval._1());
      result = result.put(target, result.getOrElse(target, RequestCounts.NONE).plus(interval._2()));
    }
    return result;
  }
}
