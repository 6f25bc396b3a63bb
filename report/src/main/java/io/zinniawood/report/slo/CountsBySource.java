package io.zinniawood.report.slo;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * Latest snapshot of each source. Snapshots hold running totals, so a duplicate or outdated
 * snapshot can be ignored.
 *
 * @param latest latest snapshot by source
 * @param retiredTotals sum of the counts of retired sources by name of the objective
 */
public record CountsBySource(
    SortedMap<String, CountsSnapshot> latest, SortedMap<String, ObjectiveCounts> retiredTotals) {

  /**
   * Exceeds the usual loss of contact with a region. The counts of a source that sends snapshots
   * again after its retirement would be added twice.
   */
  public static final long RETIRE_AFTER_MILLIS = TimeUnit.HOURS.toMillis(6);

  /** Limits the memory; a data centre has a few entries with a few restarts each in 6 h. */
  public static final int MAX_SOURCES = 256;

  /** Returns an instance without sources. */
  public static CountsBySource empty() {
    return new CountsBySource(TreeMap.empty(), TreeMap.empty());
  }

  /**
   * Exceeds the clock differences between VMs. Intervals further in the future are rejected,
   * because they would evict valid intervals from the bounded counts.
   */
  public static final long MAX_CLOCK_SKEW_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /**
   * Returns a copy with the snapshot added. The snapshot is ignored if a snapshot of the same
   * source with the same or a higher sequence is present, if it has intervals too far in the
   * future, or if it would exceed {@link #MAX_SOURCES}.
   */
  public CountsBySource offer(CountsSnapshot snapshot, long nowEpochMillis) {
    long latestMinute = TimeUnit.MILLISECONDS.toMinutes(nowEpochMillis + MAX_CLOCK_SKEW_MILLIS);
    long latestHour = TimeUnit.MILLISECONDS.toHours(nowEpochMillis + MAX_CLOCK_SKEW_MILLIS);
    boolean inFuture =
        snapshot
            .objectives()
            .values()
            .exists(
                counts ->
                    counts.minutes().keySet().exists(minute -> minute > latestMinute)
                        || counts.hours().keySet().exists(hour -> hour > latestHour));
    if (inFuture) {
      return this;
    }
    Option<CountsSnapshot> known = latest.get(snapshot.source());
    boolean newer = known.forAll(previous -> previous.sequence() < snapshot.sequence());
    if (!newer || (known.isEmpty() && latest.size() >= MAX_SOURCES)) {
      return this;
    }
    return new CountsBySource(latest.put(snapshot.source(), snapshot), retiredTotals);
  }

  /** Moves sources whose latest snapshot is older than 6 h to the retired totals. */
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

  /** Returns the sum over all sources, including retired ones, by name of the objective. */
  public SortedMap<String, ObjectiveCounts> total() {
    return latest
        .values()
        .foldLeft(retiredTotals, (sum, snapshot) -> add(sum, snapshot.objectives()));
  }

  /** Returns the sum over all sources as a single snapshot, for example for a data centre. */
  public CountsSnapshot toSnapshot(String source, long sequence, long nowEpochMillis) {
    return new CountsSnapshot(source, sequence, nowEpochMillis, total());
  }

  private static SortedMap<String, ObjectiveCounts> add(
      SortedMap<String, ObjectiveCounts> left, SortedMap<String, ObjectiveCounts> right) {
    return left.merge(right, ObjectiveCounts::plus);
  }
}
