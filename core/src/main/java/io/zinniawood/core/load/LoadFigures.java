package io.zinniawood.core.load;

/**
 * Requests in flight as relays tell each other, with tokens in units of {@value #TOKENS_PER_UNIT}.
 *
 * @param requests number of requests
 * @param tokenUnits tokens that these requests are expected to occupy
 * @param promptUnits prompt tokens of those requests that have no event yet
 */
public record LoadFigures(int requests, int tokenUnits, int promptUnits) {
  /** Tokens in one unit. A request of mean size has about 14 units, so its figures take 3 bytes. */
  public static final int TOKENS_PER_UNIT = 64;

  /** Limit of each figure; the sums of 1,400 relays and endpoints stay far below 2^63. */
  public static final int MAX_FIGURE = 1 << 30;

  /** No requests. */
  public static final LoadFigures NONE = new LoadFigures(0, 0, 0);

  /** Weight of a request in a change, in token units: the tokens of a request of mean size. */
  private static final int UNITS_PER_REQUEST = 14;

  /** Checks the figures; throws {@link IllegalArgumentException} if one is out of range. */
  public LoadFigures {
    check(requests);
    check(tokenUnits);
    check(promptUnits);
  }

  private static void check(int figure) {
    if (figure < 0 || figure > MAX_FIGURE) {
      throw new IllegalArgumentException("load figure out of range: " + figure);
    }
  }

  /** Returns figures for counted tokens. Units are rounded up, so that no load shows as none. */
  public static LoadFigures ofTokens(int requests, long tokens, long promptTokens) {
    return new LoadFigures(Math.max(0, requests), units(tokens), units(promptTokens));
  }

  private static int units(long tokens) {
    long units = (Math.max(0, tokens) + TOKENS_PER_UNIT - 1) / TOKENS_PER_UNIT;
    return (int) Math.min(MAX_FIGURE, units);
  }

  /** Returns the sum of both figures, each limited to {@link #MAX_FIGURE}. */
  LoadFigures plus(LoadFigures other) {
    return new LoadFigures(
        Math.min(MAX_FIGURE, requests + other.requests),
        Math.min(MAX_FIGURE, tokenUnits + other.tokenUnits),
        Math.min(MAX_FIGURE, promptUnits + other.promptUnits));
  }

  /** Returns the size of a change between two figures, in token units. */
  long changeTo(LoadFigures other) {
    return (long) UNITS_PER_REQUEST * Math.abs(requests - other.requests)
        + Math.abs(tokenUnits - other.tokenUnits)
        + Math.abs(promptUnits - other.promptUnits);
  }

  boolean isZero() {
    return equals(NONE);
  }
}
