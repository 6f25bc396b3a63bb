package io.zinniawood.core.agent;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;

/** Timers of the agent. */
public sealed interface AgentTimer {

  /** Expires when the engine's status is due to be read. */
  record StatusTick() implements AgentTimer {}

  /** Expires at the deadline of an attempt that is queued or awaits another attempt. */
  record QueueDeadline(AttemptId attempt) implements AgentTimer {}

  /** Expires when the limit that the service names allows another call. */
  record CallPermitted() implements AgentTimer {}

  /** Expires when a final claim row is due to be written again. */
  record FinalRowRetry(AttemptId attempt) implements AgentTimer {}

  /** Expires when the controller lease is due to be read again. */
  record FencingNumberRetry() implements AgentTimer {}

  /** Expires when the idle time of a session is due to be compared with the idle timeout. */
  record SessionIdle(SessionId session) implements AgentTimer {}

  /**
   * Expires when the old stage did not answer a request for its KV cache in time.
   *
   * @param epoch epoch of the import
   */
  record ImportDeadline(SessionId session, Epoch epoch) implements AgentTimer {}
}
