package io.zinniawood.report.slo;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * Latest snapshot of each source. Snapshots hold running totals, so a snapshot that arrives twice
 * or late changes nothing.
 *
 * @param latest latest snapshot by source
 * @param retiredTotals sum of sources that ended
 */
public record CountsBySource(
    SortedMap<String, CountsSnapshot> latest, SortedMap<String, ObjectiveCounts> retiredTotals) {

  /** Longer than a region is usually out of contact, so that no source is retired and returns. */
  public static final long RETIRE_AFTER_MILLIS = TimeUnit.HOURS.toMillis(6);

  /** Bounds the memory; a data centre has a few entries, each with a few restarts in 6 h. */
  public static final int MAX_SOURCES = 256;

  /** Returns the store without sources. */
  public static CountsBySource empty() {
    return new CountsBySource(TreeMap.empty(), TreeMap.empty());
  }

  /** Clocks of VMs differ by less; a later interval would push the true ones out of the rings. */
  public static final long MAX_CLOCK_SKEW_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /**
   * Returns this store with a snapshot, unless it has a newer one of the same source or the
   * snapshot counts requests of the future.
   */
  public CountsBySource offer(CountsSnapshot snapshot, long nowEpochMillis) {
    long latestMinute = TimeUnit.MILLISECONDS.toMinutes(nowEpochMillis + MAX_CLOCK_SKEW_MILLIS);
    long latestHour = TimeUnit.MILLISECONDS.toHours(nowEpochMillis + MAX_CLOCK_SKEW_MILLIS);
    boolean ahead =
        snapshot
            .objectives()
            .values()
            .exists(
                counts ->
                    counts.minutes().keySet().exists(minute -> minute > latestMinute)
                        || counts.hours().keySet().exists(hour -> hour > latestHour));
    if (ahead) {
      return this;
    }
    Option<CountsSnapshot> known = latest.get(snapshot.source());
    boolean newer = known.forAll(present -> present.sequence() < snapshot.sequence());
    if (!newer || (known.isEmpty() && latest.size() >= MAX_SOURCES)) {
      return this;
    }
    return new CountsBySource(latest.put(snapshot.source(), snapshot), retiredTotals);
  }

  /** Adds sources without a snapshot for 6 h to the sum of the ended ones. */
  public CountsBySource retireInactive(long nowEpochMillis) {
    CountsBySource result = this;
    for (CountsSnapshot snapshot : latest.values()) {
      if (nowEpochMillis - snapshot.writtenEpochMillis() > RETIRE_AFTER_MILLIS) {
        result =
            new CountsBySource(
                result.latest.remove(snapshot.source()),
                add(result.retiredTotals, snapshot.objectives()));
      }
    }
    return result;
  }

  /** Returns the sum over all sources by name of the objective. */
  public SortedMap<String, ObjectiveCounts> total() {
    return latest
        .values()
        .foldLeft(retiredTotals, (sum, snapshot) -> add(sum, snapshot.objectives()));
  }

  /** Returns the sum over all sources as one snapshot, for example of a data centre. */
  public CountsSnapshot toSnapshot(String source, long sequence, long nowEpochMillis) {
    return new CountsSnapshot(source, sequence, nowEpochMillis, total());
  }

  private static SortedMap<String, ObjectiveCounts> add(
      SortedMap<String, ObjectiveCounts> left, SortedMap<String, ObjectiveCounts> right) {
    return left.merge(right, ObjectiveCounts::plus);
  }
}
