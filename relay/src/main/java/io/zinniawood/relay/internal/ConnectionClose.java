package io.zinniawood.relay.internal;

import io.zinniawood.core.relay.Decision;

/**
 * Close of a caller's connection that may leave a caller without an answer. Ordinary closes by the
 * caller are not reported.
 *
 * @param reason why the connection is closed
 * @param requestOpen whether a request was read completely and not yet answered
 * @param requestPartlyRead whether a request was partly read
 * @param queuedRequests number of pipelined requests that are dropped
 * @param idleMillis time since bytes last arrived, in milliseconds
 * @param detail further description, such as an exception; may be empty
 */
public record ConnectionClose(
    Reason reason,
    boolean requestOpen,
    boolean requestPartlyRead,
    int queuedRequests,
    long idleMillis,
    String detail) {
  /** Maximum length of the detail, so that log lines stay bounded. */
  private static final int MAX_DETAIL_CHARS = 300;

  /** Limits the length of the detail. */
  public ConnectionClose {
    detail = detail.substring(0, Math.min(MAX_DETAIL_CHARS, detail.length()));
  }

  /** Reason of a close; the text appears in the log and in the metrics. */
  public enum Reason {
    /** An answer that had begun cannot be completed. */
    ANSWER_ABORTED("answer-aborted"),
    /** The caller did not take its answers for the idle timeout, or memory for them is short. */
    ANSWER_NOT_TAKEN("answer-not-taken"),
    /** The caller left while requests were queued behind the one in progress. */
    CALLER_LEFT_QUEUE("caller-left-queue"),
    /** The last answer said that the connection closes; what arrived after it is dropped. */
    CLOSE_ANNOUNCED("close-announced"),
    /** The connection was idle for longest when callers had too many connections. */
    CONNECTION_LIMIT("connection-limit"),
    /** The process drains and the connection is idle. */
    DRAINING("draining"),
    /** The connection was idle for longer than the idle timeout. */
    IDLE_TIMEOUT("idle-timeout"),
    /** A handler failed with an exception. */
    HANDLER_FAILED("handler-failed"),
    /** A request was refused before it was read completely. */
    REFUSED_EARLY("refused-early");

    private final String text;

    Reason(String text) {
      this.text = text;
    }
  }

  /** Returns the entry of the decision log. */
  Decision toDecision() {
    return Decision.of(
        "connection-closed",
        "reason",
        reason.text,
        "requestOpen",
        requestOpen,
        "requestPartlyRead",
        requestPartlyRead,
        "queuedRequests",
        queuedRequests,
        "idleMillis",
        idleMillis,
        "detail",
        detail);
  }
}
