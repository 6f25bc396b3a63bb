package io.zinniawood.core.relay;

import io.zinniawood.core.frame.ForeignHead;
import java.util.Locale;

/**
 * How the relay came to take an answer for whole and for that of its request.
 *
 * @param end what told the end of the answer
 * @param skippedAnswers number of answers to other requests that came on the connection before it
 * @param connectionReused whether the connection had carried a request before
 * @param foreignHead whether the body holds the head of another answer
 * @param millisLeft time until the limit that the endpoint was given, in milliseconds; negative
 *     after it
 */
public record AnswerEvidence(
    End end,
    int skippedAnswers,
    boolean connectionReused,
    ForeignHead foreignHead,
    long millisLeft) {
  /** Time before its limit, in milliseconds, from which on an endpoint may have stopped there. */
  public static final long LIMIT_MARGIN_MILLIS = 20;

  /** What told the end of an answer. The names appear in the decision log. */
  public enum End {
    /** The length that the head stated. */
    LENGTH,
    /** The last chunk. */
    LAST_CHUNK,
    /** The status, which allows no body. */
    STATUS,
    /** The end of the connection, as the answer had neither a length nor chunks. */
    CONNECTION
  }

  /** Returns the name of the end in the decision log. */
  String endName() {
    return end.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the finding about the body in the decision log. */
  String foreignHeadName() {
    return foreignHead.name().toLowerCase(Locale.ROOT);
  }
}
