package io.zinniawood.core.route;

/** Whether requests of a route may be repeated, and whether their answers are streamed. */
public enum RouteKind {
  /** Requests may run more than once. */
  IDEMPOTENT,
  /** Requests run at most once for each attempt of the caller. */
  NON_IDEMPOTENT,
  /** Requests are answered with a stream of events. */
  STREAMING
}
