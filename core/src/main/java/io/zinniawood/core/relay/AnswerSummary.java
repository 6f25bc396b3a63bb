package io.zinniawood.core.relay;

import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.model.NodeAddress;
import java.util.Optional;

/**
 * Properties of an endpoint's answer that the relay decides on, taken from the answer's head.
 *
 * @param status HTTP status
 * @param signed whether the answer carries the endpoint's own signature
 * @param notRun whether the endpoint states that it did not run the request
 * @param endpointAtFault address of the endpoint on the path that caused the failure; empty if none
 *     is named
 * @param refusedForTime whether the endpoint refuses requests of this relay for a stated time; it
 *     says nothing about its health then
 * @param limit rate at which the endpoint takes requests from all processes together
 */
public record AnswerSummary(
    int status,
    boolean signed,
    boolean notRun,
    Optional<NodeAddress> endpointAtFault,
    boolean refusedForTime,
    StatedLimit limit) {
  /** HTTP 421: the receiver is not the expected endpoint or does not hold the layers. */
  private static final int MISDIRECTED = 421;

  /** Returns whether the endpoint signed the answer and its status is 2xx. */
  public boolean success() {
    return signed && status >= 200 && status < 300;
  }

  /** Returns whether the endpoint at fault is not the expected one or does not hold the layers. */
  public boolean misdirected() {
    return status == MISDIRECTED;
  }

  /** Returns whether this endpoint did not run the request and never will. */
  public boolean certainlyNotRun() {
    return notRun || misdirected();
  }
}
