package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;

/** Notices that a session makes no progress. */
final class SessionTimeouts {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The prompt is one long step and may wait behind others, so it gets a multiple of the time. */
  private static final int PROMPT_FACTOR = 4;

  /** A live agent confirms an epoch without the engine, so it gets a part of the time. */
  private static final int CONFIRMATION_DIVISOR = 2;

  /** A stage that imports a KV cache confirms afterwards, and the cache has to be copied. */
  private static final int IMPORT_FACTOR = 2;

  private SessionTimeouts() {}

  /** Starts the timer of an epoch; tokens do not restart it, it measures from the last one. */
  static void start(Turn turn, Session session) {
    turn.startTimer(
        new EntryTimer.SessionProgress(session.id(), session.epoch()), timeoutNanos(turn, session));
  }

  /** Acts if the session made no progress in time; otherwise waits for the rest of the time. */
  static void fired(Turn turn, SessionId id, Epoch epoch) {
    Session session = StageSessions.sessionInEpoch(turn, id, epoch);
    if (session == null) {
      return;
    }
    long idleNanos = turn.nowNanos() - session.progress().lastProgressNanos();
    long remainingNanos = timeoutNanos(turn, session) - idleNanos;
    if (remainingNanos > 0) {
      turn.startTimer(new EntryTimer.SessionProgress(id, epoch), remainingNanos);
      return;
    }
    switch (session.phase()) {
      case RUNNING -> SessionRecovery.probe(turn, session);
      case OPENING, PROBING -> replaceUnconfirmed(turn, session);
      case INPUT_RESENT ->
          SessionRecovery.replaceStalled(turn, session, HashSet.of(session.firstStageBehind()));
      case WAITING_FOR_STAGE -> SessionRecovery.retryReplacement(turn, session);
      default -> {
        // The timer of the retry delay decides.
      }
    }
  }

  /** Replaces the stages that did not confirm. A KV import that took too long is not repeated. */
  private static void replaceUnconfirmed(Turn turn, Session session) {
    SessionRecovery.replace(
        turn,
        StageSessions.closeRetired(turn, session),
        session.unconfirmedStages(),
        ReplacedStageState.LOST);
  }

  private static long timeoutNanos(Turn turn, Session session) {
    long baseNanos = turn.cluster().routing().progressTimeoutMillis() * NANOS_PER_MILLI;
    return switch (session.phase()) {
      case OPENING ->
          isImporting(session) ? baseNanos * IMPORT_FACTOR : baseNanos / CONFIRMATION_DIVISOR;
      case PROBING, WAITING_FOR_STAGE -> baseNanos / CONFIRMATION_DIVISOR;
      case RUNNING, INPUT_RESENT, RETRY_DELAY ->
          session.nextPosition() == 0 ? baseNanos * PROMPT_FACTOR : baseNanos;
    };
  }

  private static boolean isImporting(Session session) {
    return session.nextPosition() > 0
        && session.retired().nonEmpty()
        && session
            .unconfirmedStages()
            .exists(
                index ->
                    session.endpointsToRebuild().contains(session.chain().get(index).endpoint()));
  }
}
