package io.zinniawood.core.relay;

import io.zinniawood.core.model.NodeAddress;
import java.util.Optional;

/**
 * What the head of an endpoint's answer says to the router.
 *
 * @param status HTTP status
 * @param signed whether the endpoint signed the answer as its own
 * @param notRun whether the endpoint states that it has not run the request
 * @param endpointAtFault address of the endpoint of the path that caused the failure
 */
public record AnswerSummary(
    int status, boolean signed, boolean notRun, Optional<NodeAddress> endpointAtFault) {
  /** Status of an endpoint that is another one than expected, or lacks the layers. */
  private static final int MISDIRECTED = 421;

  /** Tells whether the answer is a success of the endpoint. */
  public boolean success() {
    return signed && status >= 200 && status < 300;
  }

  /** Tells whether the request has not run and never will at this endpoint. */
  public boolean certainlyNotRun() {
    return notRun || status == MISDIRECTED;
  }
}
