package io.zinniawood.report;

import io.vavr.collection.Vector;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Formats numbers, times and lists for display in reports. */
public final class DisplayFormat {
  private static final DateTimeFormatter MINUTE =
      DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm", Locale.ROOT).withZone(ZoneOffset.UTC);
  private static final DateTimeFormatter SECOND =
      DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss", Locale.ROOT).withZone(ZoneOffset.UTC);

  private DisplayFormat() {}

  /** Formats a time in UTC, truncated to the minute. */
  public static String timeToMinute(long epochMillis) {
    return MINUTE.format(Instant.ofEpochMilli(epochMillis)) + " UTC";
  }

  /** Formats a time in UTC, truncated to the second. */
  public static String timeToSecond(long epochMillis) {
    return SECOND.format(Instant.ofEpochMilli(epochMillis)) + " UTC";
  }

  /** Formats a duration in its two largest units; negative durations count as zero. */
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
   * Formats a share from 0 to 1 as a percentage. It has enough digits to differ from 0 % and 100 %,
   * so that 99.999 % is never shown as 100 %.
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

  /** Formats a number with one decimal place, or none if its absolute value is 100 or more. */
  public static String decimal(double value) {
    return String.format(Locale.ROOT, Math.abs(value) < 100 ? "%.1f" : "%.0f", value);
  }

  /** Formats a count with its noun; the plural of the noun is formed with an "s". */
  public static String count(long count, String noun) {
    return "%s %s%s".formatted(wholeNumber(count), noun, count == 1 ? "" : "s");
  }

  /** Formats a whole number with commas as thousands separators. */
  public static String wholeNumber(long count) {
    return String.format(Locale.ROOT, "%,d", count);
  }

  /** Joins names with commas and "and"; names beyond the limit are replaced by their number. */
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

  /**
   * Replaces control characters, invisible format characters (such as changes of the text
   * direction) and line separators by U+FFFD, because they could hide or reorder text.
   */
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
