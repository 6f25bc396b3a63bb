package io.zinniawood.core.load;

/** Figures of a relay for one endpoint, which may be parts of a total. */
record Share(double requests, double tokenUnits, double promptUnits) {
  static final Share NONE = new Share(0, 0, 0);

  static Share of(LoadFigures figures) {
    return new Share(figures.requests(), figures.tokenUnits(), figures.promptUnits());
  }

  Share plus(Share other) {
    return new Share(
        requests + other.requests, tokenUnits + other.tokenUnits, promptUnits + other.promptUnits);
  }

  Share minus(Share other) {
    return new Share(
        requests - other.requests, tokenUnits - other.tokenUnits, promptUnits - other.promptUnits);
  }

  Share atLeastZero() {
    return new Share(Math.max(0, requests), Math.max(0, tokenUnits), Math.max(0, promptUnits));
  }

  /** Returns the quotient of each figure; 0 where the divisor is 0. */
  Share dividedBy(Share other) {
    return new Share(
        quotient(requests, other.requests),
        quotient(tokenUnits, other.tokenUnits),
        quotient(promptUnits, other.promptUnits));
  }

  private static double quotient(double dividend, double divisor) {
    return divisor > 0 ? dividend / divisor : 0;
  }

  Share times(Share other) {
    return new Share(
        requests * other.requests, tokenUnits * other.tokenUnits, promptUnits * other.promptUnits);
  }

  Share times(double factor) {
    return new Share(requests * factor, tokenUnits * factor, promptUnits * factor);
  }
}
