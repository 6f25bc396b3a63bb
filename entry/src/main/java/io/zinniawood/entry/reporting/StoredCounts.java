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
 * Content of {@code telemetry/slo/<data centre>.json}. It includes the sequence of the last delta
 * of each source, so that each delta is added only once, no matter which entry merges it.
 *
 * @param sources last delta by source
 * @param counts sum of the deltas
 */
record StoredCounts(SortedMap<String, LastDelta> sources, CountsSnapshot counts) {
  /** Longer than entries keep deltas, so that a removed source cannot resend one already added. */
  static final long SOURCE_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(6);

  /** Room for about 52 entries per data centre, each with a few restarts in 6 h. */
  static final int MAX_SOURCES = 512;

  private static final long MAX_CLOCK_AHEAD_MILLIS = TimeUnit.MINUTES.toMillis(10);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Last delta of a source that was added to the counts.
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

  /** Adds a delta; ignores one that is already included and new sources beyond the bound. */
  StoredCounts plus(CountsDelta delta, long nowEpochMillis) {
    boolean known = sources.containsKey(delta.source());
    if (delta.sequence() <= lastSequence(delta.source())
        || (!known && sources.size() >= MAX_SOURCES)) {
      return this;
    }
    long lastMinute = TimeUnit.MILLISECONDS.toMinutes(nowEpochMillis + MAX_CLOCK_AHEAD_MILLIS);
    // A minute far in the future would evict the correct minutes from the bounded history.
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

  /** Returns the content to write: without expired sources and with old intervals merged. */
  StoredCounts prepareForWrite(long nowEpochMillis) {
    return new StoredCounts(
        sources.filterValues(
            delta -> nowEpochMillis - delta.atEpochMillis() <= SOURCE_RETENTION_MILLIS),
        new CountsSnapshot(
            counts.source(),
            counts.sequence() + 1,
            nowEpochMillis,
            counts
                .objectives()
                .mapValues(found -> CountsCompaction.compact(found, nowEpochMillis))));
  }

  Either<CountsError, byte[]> encode() {
    ObjectNode lastDeltas = JsonNodeFactory.instance.objectNode();
    sources.forEach(
        (source, delta) ->
            lastDeltas.putArray(source).add(delta.sequence()).add(delta.atEpochMillis()));
    return CountsCodec.encode(counts)
        .map(
            bytes ->
                "{\"sources\":%s,\"counts\":%s}"
                    .formatted(lastDeltas, new String(bytes, StandardCharsets.UTF_8))
                    .getBytes(StandardCharsets.UTF_8));
  }

  /** Decodes the content; returns an error if it is malformed, and never throws. */
  static Either<CountsError, StoredCounts> decode(byte[] bytes) {
    try {
      JsonNode root = MAPPER.readTree(bytes);
      if (root == null || !root.path("sources").isObject()) {
        return Either.left(
            new CountsError.Malformed("expected an object with the fields sources and counts"));
      }
      TreeMap<String, LastDelta> lastDeltas = TreeMap.empty();
      for (var entry : root.path("sources").properties()) {
        JsonNode delta = entry.getValue();
        if (!delta.path(0).canConvertToLong() || !delta.path(1).canConvertToLong()) {
          return Either.left(
              new CountsError.Malformed("expected an array of two numbers for each source"));
        }
        lastDeltas =
            lastDeltas.put(
                entry.getKey(), new LastDelta(delta.get(0).longValue(), delta.get(1).longValue()));
      }
      TreeMap<String, LastDelta> decodedSources = lastDeltas;
      return CountsCodec.decode(root.path("counts").toString().getBytes(StandardCharsets.UTF_8))
          .map(counts -> new StoredCounts(decodedSources, counts));
    } catch (java.io.IOException malformed) {
      return Either.left(
          new CountsError.Malformed(
              malformed instanceof JsonProcessingException json
                  ? json.getOriginalMessage()
                  : "not readable as JSON"));
    }
  }
}
