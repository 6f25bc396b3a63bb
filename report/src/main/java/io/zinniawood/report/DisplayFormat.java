package io.zinniawood.report;

import io.vavr.collection.Vector;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Texts of numbers, times and lists for a person. */
public final class DisplayFormat {
  private static final DateTimeFormatter MINUTE =
      DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm", Locale.ROOT).withZone(ZoneOffset.UTC);
  private static final DateTimeFormatter SECOND =
      DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss", Locale.ROOT).withZone(ZoneOffset.UTC);

  private DisplayFormat() {}

  /** Returns a time to the minute, in UTC. */
  public static String timeToMinute(long epochMillis) {
    return MINUTE.format(Instant.ofEpochMilli(epochMillis)) + " UTC";
  }

  /** Returns a time to the second, in UTC. */
  public static String timeToSecond(long epochMillis) {
    return SECOND.format(Instant.ofEpochMilli(epochMillis)) + " UTC";
  }

  /** Returns a length of time in its two largest units. */
  public static String duration(long millis) {
    long seconds = Math.max(0, millis) / 1000;
    if (seconds < 60) {
      return seconds + " s";
    }
    if (seconds < 3_600) {
      return joinUnits(seconds / 60, "min", seconds % 60, "s");
    }
    if (seconds < 86_400) {
      return joinUnits(seconds / 3_600, "h", seconds % 3_600 / 60, "min");
    }
    return joinUnits(
        seconds / 86_400, seconds < 172_800 ? "day" : "days", seconds % 86_400 / 3_600, "h");
  }

  /**
   * Returns a share in percent. The digits suffice to tell the share from 0 and from 1, so that
   * 99.999 % never reads as 100 %.
   */
  public static String percent(double share) {
    for (int digits = 0; digits < 4; digits++) {
      double scale = Math.pow(10, digits + 2);
      double rounded = Math.rint(share * scale) / scale;
      boolean distinct = (rounded != 0 || share == 0) && (rounded != 1 || share == 1);
      if (distinct && (Math.abs(rounded - share) < 0.000_05 || digits >= 2)) {
        return String.format(Locale.ROOT, "%%.%df %%%%".formatted(digits), share * 100);
      }
    }
    return share < 0.5 ? "under 0.0001 %" : "over 99.9999 %";
  }

  /** Returns a number with one decimal, or none from 100 up. */
  public static String decimal(double value) {
    return String.format(Locale.ROOT, Math.abs(value) < 100 ? "%.1f" : "%.0f", value);
  }

  /** Returns a count with its noun, which takes an s in the plural. */
  public static String count(long count, String noun) {
    return "%s %s%s".formatted(wholeNumber(count), noun, count == 1 ? "" : "s");
  }

  /** Returns a whole number with commas between thousands. */
  public static String wholeNumber(long count) {
    return String.format(Locale.ROOT, "%,d", count);
  }

  /** Joins names with commas and a final "and"; names beyond the limit are counted. */
  public static String nameList(Vector<String> names, int limit) {
    if (names.isEmpty()) {
      return "none";
    }
    Vector<String> shown =
        names.size() <= limit
            ? names
            : names.take(limit).append("%d more".formatted(names.size() - limit));
    return shown.size() == 1 ? shown.head() : shown.init().mkString(", ") + " and " + shown.last();
  }

  /** Replaces control and direction characters, which could hide or reorder text. */
  public static String printable(String text) {
    StringBuilder clean = new StringBuilder(text.length());
    text.codePoints()
        .forEach(
            point -> {
              int type = Character.getType(point);
              boolean unsafe =
                  Character.isISOControl(point)
                      || type == Character.FORMAT
                      || type == Character.SURROGATE
                      || type == Character.LINE_SEPARATOR
                      || type == Character.PARAGRAPH_SEPARATOR;
              clean.appendCodePoint(unsafe ? 0xFFFD : point);
            });
    return clean.toString();
  }

  private static String joinUnits(long large, String largeUnit, long small, String smallUnit) {
    String first = large + " " + largeUnit;
    return small == 0 ? first : first + " " + small + " " + smallUnit;
  }
}
