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
 * Serialises counts as JSON. An interval is a list: number of the interval, requests, not answered,
 * unknown, measured, late, and if there are causes, an object of the causes of failures and one of
 * the causes of late answers.
 */
public final class CountsCodec {
  /** Half of the frame bound of the own protocol (8 MiB). */
  public static final int MAX_BYTES = 4 * 1024 * 1024;

  private static final int NUMBERS = 6;
  private static final int MAX_CAUSE_CHARACTERS = 200;
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private CountsCodec() {}

  /** Serialises a snapshot; fails if it has more than {@value #MAX_BYTES} bytes. */
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

  /** Reads a snapshot; never throws. */
  public static Either<CountsError, CountsSnapshot> decode(byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      return Either.left(new CountsError.TooLarge(bytes.length, MAX_BYTES));
    }
    try {
      JsonNode root = MAPPER.readTree(new String(bytes, StandardCharsets.UTF_8));
      return Either.right(snapshot(root));
    } catch (JsonProcessingException malformed) {
      return Either.left(new CountsError.Malformed(malformed.getOriginalMessage()));
    } catch (IllegalArgumentException refused) {
      return Either.left(new CountsError.Malformed(String.valueOf(refused.getMessage())));
    }
  }

  private static void write(ArrayNode array, SortedMap<Long, Counts> ring) {
    ring.forEach(
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

  private static CountsSnapshot snapshot(JsonNode root) {
    check(root != null && root.isObject(), "expected an object");
    check(root.path("source").isTextual(), "expected the text source");
    check(root.path("objectives").isObject(), "expected the object objectives");
    TreeMap<String, ObjectiveCounts> objectives = TreeMap.empty();
    for (var entry : root.path("objectives").properties()) {
      ObjectiveCounts counts =
          new ObjectiveCounts(
              entry.getKey(),
              ring(entry.getValue().path("minutes"), ObjectiveCounts.MAX_MINUTES),
              ring(entry.getValue().path("hours"), ObjectiveCounts.MAX_HOURS));
      objectives = objectives.put(entry.getKey(), counts);
    }
    return new CountsSnapshot(
        root.path("source").textValue(),
        number(root.path("sequence")),
        number(root.path("written_epoch_ms")),
        objectives);
  }

  private static SortedMap<Long, Counts> ring(JsonNode array, int most) {
    check(array.isArray() && array.size() <= most, "expected at most " + most + " intervals");
    TreeMap<Long, Counts> ring = TreeMap.empty();
    for (JsonNode item : array) {
      check(
          item.isArray() && item.size() >= NUMBERS && item.size() <= NUMBERS + 2,
          "expected an interval of " + NUMBERS + " numbers");
      long requests = number(item.get(1));
      long notAnswered = number(item.get(2));
      long unknown = number(item.get(3));
      long measured = number(item.get(4));
      long late = number(item.get(5));
      check(
          notAnswered <= requests && unknown <= notAnswered && late <= measured,
          "expected parts that do not exceed their total");
      Counts counts =
          new Counts(
              requests,
              notAnswered,
              unknown,
              measured,
              late,
              causes(item.path(NUMBERS)),
              causes(item.path(NUMBERS + 1)));
      ring = ring.put(number(item.get(0)), counts);
    }
    return ring;
  }

  private static TreeMap<String, Long> causes(JsonNode node) {
    TreeMap<String, Long> causes = TreeMap.empty();
    check(node.isObject() || node.isMissingNode(), "expected an object of causes");
    check(node.size() <= Counts.MAX_CAUSES, "expected at most " + Counts.MAX_CAUSES + " causes");
    for (var entry : node.properties()) {
      check(entry.getKey().length() <= MAX_CAUSE_CHARACTERS, "a cause is too long");
      causes = causes.put(entry.getKey(), number(entry.getValue()));
    }
    return causes;
  }

  /** Returns a number that stays far from an overflow when many are added. */
  private static long number(JsonNode node) {
    check(
        node != null
            && node.isIntegralNumber()
            && node.canConvertToLong()
            && node.longValue() >= 0
            && node.longValue() <= 1L << 53,
        "expected a whole number from 0 to 2^53");
    return node.longValue();
  }

  private static void check(boolean valid, String expected) {
    if (!valid) {
      throw new IllegalArgumentException(expected);
    }
  }
}
