package io.zinniawood.report.slo;

import io.vavr.collection.SortedMap;

/**
 * All counts of one source at one point in time.
 *
 * @param source process with its incarnation, or data centre
 * @param sequence number of the snapshot, which increases with each snapshot of a source
 * @param writtenEpochMillis time of the snapshot in milliseconds since 1970
 * @param objectives counts by name of the objective
 */
public record CountsSnapshot(
    String source,
    long sequence,
    long writtenEpochMillis,
    SortedMap<String, ObjectiveCounts> objectives) {}
