package io.zinniawood.core.limit;

/** What the head of an answer says about the rate at which its endpoint takes requests. */
public sealed interface StatedLimit {
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
}
