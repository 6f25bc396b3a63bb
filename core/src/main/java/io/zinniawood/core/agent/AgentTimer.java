package io.zinniawood.core.agent;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;

/** Timers of the agent. */
public sealed interface AgentTimer {

  /** Expires when the engine's status is due to be read. */
  record StatusTick() implements AgentTimer {}

  /**
   * Expires at the deadline of an attempt that is queued or awaits another attempt.
   *
   * @param attempt the attempt
   */
  record QueueDeadline(AttemptId attempt) implements AgentTimer {}

  /**
   * Expires when a final claim row is due to be written again.
   *
   * @param attempt the attempt
   */
  record FinalRowRetry(AttemptId attempt) implements AgentTimer {}

  /** Expires when the controller lease is due to be read again. */
  record FencingNumberRetry() implements AgentTimer {}

  /**
   * Expires when a session must be closed if it received no frames for the idle timeout.
   *
   * @param session the session
   */
  record SessionIdle(SessionId session) implements AgentTimer {}

  /**
   * Expires when the old stage did not answer a request for its KV cache in time.
   *
   * @param session the session
   * @param epoch epoch of the import
   */
  record ImportDeadline(SessionId session, Epoch epoch) implements AgentTimer {}
}
