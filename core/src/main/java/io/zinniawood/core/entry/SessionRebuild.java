package io.zinniawood.core.entry;

import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.StageAddress;

/** Brings the stages of a confirmed epoch to the awaited position and goes on from there. */
final class SessionRebuild {
  private SessionRebuild() {}

  /**
   * Asks for the missing inputs of each stage and repeats the awaited position. Stages that already
   * ran a position return the kept output, so no surviving stage runs again. A probe that finds the
   * stages further than the one before shows a long rebuild, not a stalled stage.
   */
  static void resume(Turn turn, Session session) {
    int position = session.nextPosition();
    int reached = session.confirmedPositions().values().sum().intValue();
    boolean stuck =
        session.phase() == SessionPhase.PROBING
            && reached <= session.progress().probedPositionSum();
    SessionPhase phase = stuck ? SessionPhase.INPUT_RESENT : SessionPhase.RUNNING;
    Session running =
        StageSessions.closeRetired(turn, session)
            .withProgress(
                session.progress().withProgressAt(turn.nowNanos()).withProbedPositionSum(reached))
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
   * Asks the preceding stage for the positions that a stage lacks. Positions that the preceding
   * stage itself still has to run reach the stage as it runs them.
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
