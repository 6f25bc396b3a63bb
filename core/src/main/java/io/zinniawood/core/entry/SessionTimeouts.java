package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;

/** Detects sessions that make no progress. */
final class SessionTimeouts {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Factor on the timeout of the prompt, which is one long step and may wait behind other steps.
   */
  private static final int PROMPT_FACTOR = 4;

  /**
   * Divisor of the timeout for confirmations; a reachable agent confirms an epoch without the
   * engine.
   */
  private static final int CONFIRMATION_DIVISOR = 2;

  /**
   * Factor on the timeout for confirmations of stages that import a KV cache, as they confirm only
   * after copying it.
   */
  private static final int IMPORT_FACTOR = 2;

  private SessionTimeouts() {}

  /**
   * Starts the progress timer of an epoch. Tokens do not restart it; when it fires, the time since
   * the last progress counts.
   */
  static void start(Turn turn, Session session) {
    turn.startTimer(
        new EntryTimer.SessionProgressTimeout(session.id(), session.epoch()),
        timeoutNanos(turn, session));
  }

  /**
   * Starts recovery if the session made no progress within its timeout; otherwise waits for the
   * remaining time.
   */
  static void fired(Turn turn, SessionId id, Epoch epoch) {
    Session session = StageSessions.sessionInEpoch(turn, id, epoch);
    if (session == null) {
      return;
    }
    long idleNanos = turn.nowNanos() - session.progress().lastProgressNanos();
    long remainingNanos = timeoutNanos(turn, session) - idleNanos;
    if (remainingNanos > 0) {
      turn.startTimer(new EntryTimer.SessionProgressTimeout(id, epoch), remainingNanos);
      return;
    }
    switch (session.phase()) {
      case RUNNING -> SessionRecovery.probe(turn, session);
      case OPENING, PROBING -> replaceUnconfirmed(turn, session);
      case INPUT_RESENT ->
          SessionRecovery.replaceStalled(turn, session, HashSet.of(session.firstStageBehind()));
      case WAITING_FOR_STAGE -> SessionRecovery.retryReplacement(turn, session);
      default -> {
        // The request continues when its retry delay elapses.
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
