package io.zinniawood.core.relay;

import io.zinniawood.core.limit.StatedLimit;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an endpoint says about itself in the head of an answer, whichever request it answers.
 *
 * @param leaving whether the endpoint is about to stop
 * @param pauseMillis time for which it wants no requests from this relay, in milliseconds, counted
 *     from the receipt of the head; empty if it says nothing about that
 * @param limit rate at which it takes requests from all processes together
 * @param unreadable header that has no defined meaning or exceeds its maximum, with its value;
 *     empty if there is none
 */
public record EndpointStatement(
    boolean leaving, OptionalLong pauseMillis, StatedLimit limit, Optional<String> unreadable) {
  /** Returns whether there is nothing to handle. */
  public boolean isEmpty() {
    return !leaving
        && pauseMillis.isEmpty()
        && !(limit instanceof StatedLimit.Rate)
        && unreadable.isEmpty();
  }
}
