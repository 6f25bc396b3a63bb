package io.zinniawood.report.slo;

import io.vavr.collection.SortedMap;

/**
 * All counts of one source at one moment.
 *
 * @param source process and incarnation, or data centre
 * @param sequence number of the snapshot, increasing for each source
 * @param writtenEpochMillis time of the snapshot in milliseconds since 1970
 * @param objectives counts by name of the objective
 */
public record CountsSnapshot(
    String source,
    long sequence,
    long writtenEpochMillis,
    SortedMap<String, ObjectiveCounts> objectives) {}
