package io.zinniawood.core.agent;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;

/** Timer of the agent. */
public sealed interface AgentTimer {

  /** The interval at which the engine's status is read. */
  record StatusTick() implements AgentTimer {}

  /**
   * The deadline of a queued attempt.
   *
   * @param attempt attempt
   */
  record QueueDeadline(AttemptId attempt) implements AgentTimer {}

  /**
   * The wait before an answer is written to the table again.
   *
   * @param attempt attempt
   */
  record FinalRowRetry(AttemptId attempt) implements AgentTimer {}

  /** The wait before the controller lease is read again. */
  record FencingNumberRetry() implements AgentTimer {}

  /**
   * The time after which a session without frames is closed.
   *
   * @param session session
   */
  record SessionIdle(SessionId session) implements AgentTimer {}

  /**
   * The time within which the old stage must answer a request for its KV cache.
   *
   * @param session session
   * @param epoch epoch of the import
   */
  record ImportDeadline(SessionId session, Epoch epoch) implements AgentTimer {}
}
