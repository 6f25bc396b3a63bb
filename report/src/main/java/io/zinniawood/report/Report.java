package io.zinniawood.report;

import io.vavr.collection.Vector;

/**
 * Report, independent of any format.
 *
 * @param title title
 * @param writtenEpochMillis time of writing in milliseconds since 1970
 * @param writer process that wrote it
 * @param sections sections in order
 */
public record Report(
    String title, long writtenEpochMillis, String writer, Vector<Section> sections) {}
