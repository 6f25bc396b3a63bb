package io.zinniawood.report.slo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;

/**
 * Serialises counts as JSON. An interval is an array of its number (minutes or hours since 1970)
 * and the counts of requests, not answered, unknown, measured and late. If there are causes, an
 * object with the causes of failures and one with the causes of late answers follow.
 */
public final class CountsCodec {
  /** Half of the 8 MiB frame limit of the peer protocol. */
  public static final int MAX_BYTES = 4 * 1024 * 1024;

  private static final int INTERVAL_NUMBERS = 6;
  private static final int MAX_CAUSE_CHARACTERS = 200;
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private CountsCodec() {}

  /** Serialises a snapshot; returns an error if it exceeds {@value #MAX_BYTES} bytes. */
  public static Either<CountsError, byte[]> encode(CountsSnapshot snapshot) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("source", snapshot.source());
    root.put("sequence", snapshot.sequence());
    root.put("written_epoch_ms", snapshot.writtenEpochMillis());
    ObjectNode objectives = root.putObject("objectives");
    for (ObjectiveCounts counts : snapshot.objectives().values()) {
      ObjectNode node = objectives.putObject(counts.objective());
      write(node.putArray("minutes"), counts.minutes());
      write(node.putArray("hours"), counts.hours());
    }
    byte[] bytes = root.toString().getBytes(StandardCharsets.UTF_8);
    return bytes.length > MAX_BYTES
        ? Either.left(new CountsError.TooLarge(bytes.length, MAX_BYTES))
        : Either.right(bytes);
  }

  /** Parses a snapshot; invalid input gives an error, not an exception. */
  public static Either<CountsError, CountsSnapshot> decode(byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      return Either.left(new CountsError.TooLarge(bytes.length, MAX_BYTES));
    }
    try {
      JsonNode root = MAPPER.readTree(new String(bytes, StandardCharsets.UTF_8));
      return Either.right(readSnapshot(root));
    } catch (JsonProcessingException malformed) {
      return Either.left(new CountsError.Malformed(malformed.getOriginalMessage()));
    } catch (IllegalArgumentException invalid) {
      return Either.left(new CountsError.Malformed(String.valueOf(invalid.getMessage())));
    }
  }

  private static void write(ArrayNode array, SortedMap<Long, RequestCounts> intervals) {
    intervals.forEach(
        (interval, counts) -> {
          ArrayNode item =
              array
                  .addArray()
                  .add(interval)
                  .add(counts.requests())
                  .add(counts.notAnswered())
                  .add(counts.unknown())
                  .add(counts.measured())
                  .add(counts.late());
          if (!counts.failureCauses().isEmpty() || !counts.lateCauses().isEmpty()) {
            write(item.addObject(), counts.failureCauses());
            write(item.addObject(), counts.lateCauses());
          }
        });
  }

  private static void write(ObjectNode node, SortedMap<String, Long> causes) {
    causes.forEach((cause, count) -> node.put(cause, count));
  }

  private static CountsSnapshot readSnapshot(JsonNode root) {
    require(root != null && root.isObject(), "expected an object");
    require(root.path("source").isTextual(), "expected the text source");
    require(root.path("objectives").isObject(), "expected the object objectives");
    TreeMap<String, ObjectiveCounts> objectives = TreeMap.empty();
    for (var entry : root.path("objectives").properties()) {
      ObjectiveCounts counts =
          new ObjectiveCounts(
              entry.getKey(),
              readIntervals(entry.getValue().path("minutes"), ObjectiveCounts.MAX_MINUTES),
              readIntervals(entry.getValue().path("hours"), ObjectiveCounts.MAX_HOURS));
      objectives = objectives.put(entry.getKey(), counts);
    }
    return new CountsSnapshot(
        root.path("source").textValue(),
        readCount(root.path("sequence")),
        readCount(root.path("written_epoch_ms")),
        objectives);
  }

  private static SortedMap<Long, RequestCounts> readIntervals(JsonNode array, int maxIntervals) {
    require(
        array.isArray() && array.size() <= maxIntervals,
        "expected at most " + maxIntervals + " intervals");
    TreeMap<Long, RequestCounts> intervals = TreeMap.empty();
    for (JsonNode item : array) {
      require(
          item.isArray() && item.size() >= INTERVAL_NUMBERS && item.size() <= INTERVAL_NUMBERS + 2,
          "expected an interval of " + INTERVAL_NUMBERS + " numbers");
      long requests = readCount(item.get(1));
      long notAnswered = readCount(item.get(2));
      long unknown = readCount(item.get(3));
      long measured = readCount(item.get(4));
      long late = readCount(item.get(5));
      require(
          notAnswered <= requests && unknown <= notAnswered && late <= measured,
          "expected parts that do not exceed their total");
      RequestCounts counts =
          new RequestCounts(
              requests,
              notAnswered,
              unknown,
              measured,
              late,
              readCauses(item.path(INTERVAL_NUMBERS)),
              readCauses(item.path(INTERVAL_NUMBERS + 1)));
      intervals = intervals.put(readCount(item.get(0)), counts);
    }
    return intervals;
  }

  private static TreeMap<String, Long> readCauses(JsonNode node) {
    TreeMap<String, Long> causes = TreeMap.empty();
    require(node.isObject() || node.isMissingNode(), "expected an object of causes");
    require(
        node.size() <= RequestCounts.MAX_CAUSES,
        "expected at most " + RequestCounts.MAX_CAUSES + " causes");
    for (var entry : node.properties()) {
      require(entry.getKey().length() <= MAX_CAUSE_CHARACTERS, "a cause is too long");
      causes = causes.put(entry.getKey(), readCount(entry.getValue()));
    }
    return causes;
  }

  /** Reads a number of at most 2^53, so that sums of many numbers do not overflow. */
  private static long readCount(JsonNode node) {
    require(
        node != null
            && node.isIntegralNumber()
            && node.canConvertToLong()
            && node.longValue() >= 0
            && node.longValue() <= 1L << 53,
        "expected a whole number from 0 to 2^53");
    return node.longValue();
  }

  private static void require(boolean valid, String message) {
    if (!valid) {
      throw new IllegalArgumentException(message);
    }
  }
}
