package io.zinniawood.core.relay;

import java.util.Optional;

/**
 * What an endpoint says about itself in the head of an answer, whichever request it answers.
 *
 * @param leaving whether the endpoint is about to stop
 * @param unreadable header that has no defined meaning, with its value; empty if all were read
 */
public record EndpointStatement(boolean leaving, Optional<String> unreadable) {
  /** Returns whether there is nothing to handle. */
  public boolean isEmpty() {
    return !leaving && unreadable.isEmpty();
  }
}
