package io.zinniawood.core.limit;

import java.util.List;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** What the head of an answer says about the rate at which its endpoint takes requests. */
public sealed interface StatedLimit {
  /** Limits above this number of requests a second have no effect and count as none. */
  double MAX_REQUESTS_PER_SECOND = 1_000_000;

  /** Lower limits count as this one, so that requests remain that show when the limit ends. */
  double MIN_REQUESTS_PER_SECOND = 0.1;

  /** Decimal number without sign and exponent. */
  Pattern DECIMAL_NUMBER = Pattern.compile("\\d+(\\.\\d+)?");

  /** The answer names no limit, so the endpoint has none when it makes the answer. */
  record None() implements StatedLimit {}

  /** The answer names a limit whose value has no meaning, which says nothing. */
  record Unreadable() implements StatedLimit {}

  /**
   * The endpoint takes this number of requests a second from all processes together.
   *
   * @param requestsPerSecond finite number, 0 or greater
   */
  record Rate(double requestsPerSecond) implements StatedLimit {
    /** Checks the value; throws {@link IllegalArgumentException} if it is no valid rate. */
    public Rate {
      if (!Double.isFinite(requestsPerSecond) || requestsPerSecond < 0) {
        throw new IllegalArgumentException(
            "limit of an endpoint: expected a finite number of requests a second that is not"
                + " negative, found "
                + requestsPerSecond);
      }
    }
  }

  /** The absence of a limit. */
  StatedLimit NONE = new None();

  /**
   * Returns the limit in the values of a header. The lowest of several readable values counts.
   *
   * @param values decimal numbers of requests a second; empty if the header is missing
   */
  static StatedLimit of(List<String> values) {
    OptionalDouble lowest =
        values.stream().filter(StatedLimit::readable).mapToDouble(Double::parseDouble).min();
    if (values.isEmpty()) {
      return NONE;
    }
    if (lowest.isEmpty()) {
      return new Unreadable();
    }
    return lowest.getAsDouble() > MAX_REQUESTS_PER_SECOND ? NONE : new Rate(lowest.getAsDouble());
  }

  /** Returns whether a value is a decimal number without sign and exponent. */
  static boolean readable(String value) {
    return DECIMAL_NUMBER.matcher(value).matches();
  }
}
