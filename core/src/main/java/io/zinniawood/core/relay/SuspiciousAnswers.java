package io.zinniawood.core.relay;

import io.zinniawood.core.frame.ForeignHead;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;

/** Decides which ends of answers and attempts tell of an answer that may not be the endpoint's. */
final class SuspiciousAnswers {
  private static final Set<String> REASONS =
      EnumSet.of(
              AttemptFailureCause.FOREIGN_HEAD,
              AttemptFailureCause.TIME_LIMIT,
              AttemptFailureCause.END_UNCONFIRMED,
              AttemptFailureCause.INVALID_ANSWER)
          .stream()
          .map(AttemptFailureCause::logName)
          .collect(Collectors.toUnmodifiableSet());

  private SuspiciousAnswers() {}

  /** Returns whether an attempt or a request with this reason received a suspicious answer. */
  static boolean isReason(String reason) {
    return REASONS.contains(reason);
  }

  /** Returns whether the end of an answer that was taken for whole is unusual. */
  static boolean isUnusual(AnswerEvidence evidence) {
    return evidence.end() == AnswerEvidence.End.CONNECTION
        || evidence.skippedAnswers() > 0
        || evidence.foreignHead() != ForeignHead.ABSENT
        || evidence.millisLeft() <= AnswerEvidence.LIMIT_MARGIN_MILLIS;
  }
}
