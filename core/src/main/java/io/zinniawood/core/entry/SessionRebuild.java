package io.zinniawood.core.entry;

import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.StageAddress;

/**
 * Rebuilds the stages of a confirmed epoch up to the next position and resumes the session there.
 */
final class SessionRebuild {
  private SessionRebuild() {}

  /**
   * Requests the missing inputs of each stage and sends the input of the next position again.
   * Stages that already ran a position return the stored output, so no surviving stage runs it
   * again. A probe that finds the stages further ahead than the previous probe indicates a long
   * rebuild and not a stalled stage.
   */
  static void resume(Turn turn, Session session) {
    int position = session.nextPosition();
    int positionSum = session.confirmedPositions().values().sum().intValue();
    boolean stalled =
        session.phase() == SessionPhase.PROBING
            && positionSum <= session.progress().probedPositionSum();
    SessionPhase phase = stalled ? SessionPhase.INPUT_RESENT : SessionPhase.RUNNING;
    Session running =
        StageSessions.closeRetired(turn, session)
            .withProgress(
                session
                    .progress()
                    .withProgressAt(turn.nowNanos())
                    .withProbedPositionSum(positionSum))
            .withInputSent(phase);
    turn.putSession(running);
    for (int index = 1; index < running.chain().length(); index++) {
      requestReplay(turn, running, index);
    }
    for (int missing = nextPosition(running, 0); missing < position; missing++) {
      StageSessions.sendInput(turn, running, missing);
    }
    StageSessions.sendInput(turn, running, position);
  }

  /**
   * Asks the preceding stage to replay the positions that a stage lacks. Positions that the
   * preceding stage still has to run itself are forwarded as it runs them.
   */
  private static void requestReplay(Turn turn, Session session, int index) {
    int from = nextPosition(session, index);
    int toExclusive = Math.min(session.nextPosition(), nextPosition(session, index - 1));
    if (from < toExclusive) {
      StageAddress preceding = session.chain().get(index - 1);
      turn.send(
          preceding.endpoint(),
          preceding.incarnation(),
          new Message.Replay(session.id(), session.epoch(), from, toExclusive));
    }
  }

  private static int nextPosition(Session session, int index) {
    return session.confirmedPositions().getOrElse(index, 0);
  }
}
