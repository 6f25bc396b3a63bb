package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;

/** Timer of the entry. */
public sealed interface EntryTimer {

  /**
   * The deadline of a request.
   *
   * @param request request
   */
  record RequestDeadline(RequestId request) implements EntryTimer {}

  /**
   * The time within which an attempt must answer.
   *
   * @param request request
   * @param attempt attempt
   */
  record AttemptTimeout(RequestId request, AttemptId attempt) implements EntryTimer {}

  /**
   * The wait before the next attempt of a request.
   *
   * @param request request
   */
  record RetryDelay(RequestId request) implements EntryTimer {}

  /**
   * The time within which a session must open or produce its next token.
   *
   * @param session session
   * @param epoch epoch
   */
  record SessionProgressTimeout(SessionId session, Epoch epoch) implements EntryTimer {}

  /**
   * The wait before the next connection to an agent.
   *
   * @param endpoint endpoint
   */
  record ReconnectDelay(EndpointId endpoint) implements EntryTimer {}

  /** The interval at which the controller lease is renewed or checked. */
  record LeaseTick() implements EntryTimer {}

  /** The interval of slow start, limits and repair. */
  record MaintenanceTick() implements EntryTimer {}

  /** The time for which a draining entry still takes requests, so that the balancer notices. */
  record DrainGrace() implements EntryTimer {}
}
