package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.id.SessionId;

/** Timer of the entry. Starting a timer that equals a running one restarts that one. */
public sealed interface EntryTimer {

  /** The deadline of a request. */
  record RequestDeadline(RequestId request) implements EntryTimer {}

  /** The time within which an attempt must answer. */
  record AttemptTimeout(RequestId request, AttemptId attempt) implements EntryTimer {}

  /** The delay before the next attempt of a request. */
  record RetryDelay(RequestId request) implements EntryTimer {}

  /** The time within which an epoch of a session must open or produce its next token. */
  record SessionProgressTimeout(SessionId session, Epoch epoch) implements EntryTimer {}

  /** The backoff before the next attempt to connect to an agent. */
  record ReconnectDelay(EndpointId endpoint) implements EntryTimer {}

  /** The interval at which the controller lease is renewed or checked. */
  record LeaseTick() implements EntryTimer {}

  /** The interval of {@link Maintenance}. */
  record MaintenanceTick() implements EntryTimer {}

  /**
   * The time for which a draining entry still accepts requests until the balancer has removed it.
   */
  record DrainGrace() implements EntryTimer {}

  /** The time after which a draining entry ends the requests that are still open. */
  record DrainEnd() implements EntryTimer {}
}
