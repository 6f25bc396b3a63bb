package io.zinniawood.report;

import io.vavr.collection.Vector;

/**
 * Format-independent content of a report.
 *
 * @param title title of the page
 * @param writtenEpochMillis creation time in milliseconds since 1970
 * @param writer name of the process that created it
 * @param sections sections in the order of display
 */
public record Report(
    String title, long writtenEpochMillis, String writer, Vector<Section> sections) {}
