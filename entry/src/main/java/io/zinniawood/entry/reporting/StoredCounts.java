package io.zinniawood.entry.reporting;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import io.zinniawood.report.slo.CountsCodec;
import io.zinniawood.report.slo.CountsError;
import io.zinniawood.report.slo.CountsSnapshot;
import io.zinniawood.report.slo.ObjectiveCounts;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Content of {@code telemetry/slo/<data centre>.json}. It names the last delta of each source, so
 * that a delta is added once whichever entry merges.
 *
 * @param sources last delta by source
 * @param counts sum of the deltas
 */
record StoredCounts(SortedMap<String, LastDelta> sources, CountsSnapshot counts) {
  /** Longer than entries keep deltas, so that no forgotten source sends an old one again. */
  static final long SOURCE_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(6);

  /** A data centre has about 52 entries, each with a few restarts in 6 h. */
  static final int MAX_SOURCES = 512;

  private static final long MAX_CLOCK_AHEAD_MILLIS = TimeUnit.MINUTES.toMillis(10);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Last delta of a source.
   *
   * @param sequence sequence of the delta
   * @param atEpochMillis time at which it was added, in milliseconds since 1970
   */
  record LastDelta(long sequence, long atEpochMillis) {}

  static StoredCounts empty(String dataCentre) {
    return new StoredCounts(TreeMap.empty(), new CountsSnapshot(dataCentre, 0, 0, TreeMap.empty()));
  }

  static String objectName(String dataCentre) {
    return "telemetry/slo/" + dataCentre + ".json";
  }

  long lastSequence(String source) {
    return sources.get(source).map(LastDelta::sequence).getOrElse(0L);
  }

  /** Returns the sum with a delta; one that is included already changes nothing. */
  StoredCounts plus(CountsDelta delta, long nowEpochMillis) {
    boolean known = sources.containsKey(delta.source());
    if (delta.sequence() <= lastSequence(delta.source())
        || (!known && sources.size() >= MAX_SOURCES)) {
      return this;
    }
    long lastMinute = TimeUnit.MILLISECONDS.toMinutes(nowEpochMillis + MAX_CLOCK_AHEAD_MILLIS);
    // A minute of the far future would push the true ones out of the bounded rings.
    SortedMap<String, ObjectiveCounts> plausible =
        delta
            .objectives()
            .filterValues(found -> found.minutes().keySet().forAll(minute -> minute <= lastMinute));
    return new StoredCounts(
        sources.put(delta.source(), new LastDelta(delta.sequence(), nowEpochMillis)),
        new CountsSnapshot(
            counts.source(),
            counts.sequence(),
            counts.writtenEpochMillis(),
            counts.objectives().merge(plausible, ObjectiveCounts::plus)));
  }

  /** Returns the content as it is written now. */
  StoredCounts prepareForWrite(long nowEpochMillis) {
    return new StoredCounts(
        sources.filterValues(
            mark -> nowEpochMillis - mark.atEpochMillis() <= SOURCE_RETENTION_MILLIS),
        new CountsSnapshot(
            counts.source(),
            counts.sequence() + 1,
            nowEpochMillis,
            counts
                .objectives()
                .mapValues(found -> CountsCompaction.compact(found, nowEpochMillis))));
  }

  Either<CountsError, byte[]> encode() {
    ObjectNode marks = JsonNodeFactory.instance.objectNode();
    sources.forEach(
        (source, mark) -> marks.putArray(source).add(mark.sequence()).add(mark.atEpochMillis()));
    return CountsCodec.encode(counts)
        .map(
            bytes ->
                "{\"sources\":%s,\"counts\":%s}"
                    .formatted(marks, new String(bytes, StandardCharsets.UTF_8))
                    .getBytes(StandardCharsets.UTF_8));
  }

  /** Reads the content; never throws. */
  static Either<CountsError, StoredCounts> decode(byte[] bytes) {
    try {
      JsonNode root = MAPPER.readTree(bytes);
      if (root == null || !root.path("sources").isObject()) {
        return Either.left(new CountsError.Malformed("expected an object with sources and counts"));
      }
      TreeMap<String, LastDelta> marks = TreeMap.empty();
      for (var entry : root.path("sources").properties()) {
        JsonNode mark = entry.getValue();
        if (!mark.path(0).canConvertToLong() || !mark.path(1).canConvertToLong()) {
          return Either.left(new CountsError.Malformed("expected two numbers for a source"));
        }
        marks =
            marks.put(
                entry.getKey(), new LastDelta(mark.get(0).longValue(), mark.get(1).longValue()));
      }
      TreeMap<String, LastDelta> found = marks;
      return CountsCodec.decode(root.path("counts").toString().getBytes(StandardCharsets.UTF_8))
          .map(counts -> new StoredCounts(found, counts));
    } catch (java.io.IOException malformed) {
      return Either.left(
          new CountsError.Malformed(
              malformed instanceof JsonProcessingException json
                  ? json.getOriginalMessage()
                  : "not readable"));
    }
  }
}
