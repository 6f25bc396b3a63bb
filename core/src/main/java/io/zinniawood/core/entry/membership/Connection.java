package io.zinniawood.core.entry.membership;

import io.vavr.control.Option;
import io.zinniawood.core.id.Incarnation;

/**
 * Connection from an entry to an agent.
 *
 * @param link state
 * @param incarnation incarnation of the last connection
 * @param failures connections in a row that failed or ended at once
 * @param sinceNanos monotonic time at which the connection opened, in nanoseconds
 */
public record Connection(
    Link link, Option<Incarnation> incarnation, int failures, long sinceNanos) {
  /** No connection, and none was open before. */
  public static final Connection NONE = new Connection(Link.IDLE, Option.none(), 0, 0);

  /** Returns this connection in another state. */
  public Connection to(Link changed) {
    return new Connection(changed, incarnation, failures, sinceNanos);
  }

  /** Returns this connection after one more failure, waiting for the next try. */
  public Connection failed() {
    return new Connection(Link.WAITING, incarnation, failures + 1, sinceNanos);
  }

  /** Returns an open connection; the failures are kept until it has lasted. */
  public Connection open(Incarnation current, long nowNanos) {
    return new Connection(Link.CONNECTED, Option.some(current), failures, nowNanos);
  }

  /** Returns this connection without failures. */
  public Connection proven() {
    return failures == 0 ? this : new Connection(link, incarnation, 0, sinceNanos);
  }
}
