package io.zinniawood.core.entry.membership;

import io.vavr.control.Option;
import io.zinniawood.core.id.Incarnation;

/**
 * Connection from an entry to an agent.
 *
 * @param incarnation incarnation of the agent on the last connection, if there was one
 * @param consecutiveFailures consecutive connections that failed or ended at once
 * @param openedAtNanos monotonic time at which the last connection was opened, in nanoseconds
 */
public record Connection(
    ConnectionState state,
    Option<Incarnation> incarnation,
    int consecutiveFailures,
    long openedAtNanos) {
  /** No connection is open, and none was open before. */
  public static final Connection NONE = new Connection(ConnectionState.IDLE, Option.none(), 0, 0);

  /** Returns this connection in another state. */
  public Connection withState(ConnectionState changed) {
    return new Connection(changed, incarnation, consecutiveFailures, openedAtNanos);
  }

  /** Returns this connection after one more failure, waiting for the next attempt. */
  public Connection withFailure() {
    return new Connection(
        ConnectionState.WAITING, incarnation, consecutiveFailures + 1, openedAtNanos);
  }

  /**
   * Returns this connection once it is open; the failures are kept until it has lasted long enough.
   */
  public Connection opened(Incarnation current, long nowNanos) {
    return new Connection(
        ConnectionState.CONNECTED, Option.some(current), consecutiveFailures, nowNanos);
  }

  /** Returns this connection without failures. */
  public Connection withoutFailures() {
    return consecutiveFailures == 0 ? this : new Connection(state, incarnation, 0, openedAtNanos);
  }
}
