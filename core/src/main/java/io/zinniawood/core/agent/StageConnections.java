package io.zinniawood.core.agent;

import io.vavr.collection.Seq;
import io.vavr.collection.Vector;
import io.zinniawood.core.agent.StageSession.PositionRange;
import io.zinniawood.core.agent.StageState.Reconnect;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.runtime.Step;

/**
 * Handles connections to next stages. After a failure the frames are sent once more over a new
 * connection; if that fails as well, the stage is reported as unreachable.
 */
final class StageConnections {
  /**
   * A failure within this time after a retry is final. Without this limit, the failures of several
   * sessions that share the address would each cause another retry.
   */
  private static final long RETRY_INTERVAL_NANOS = 2_000_000_000;

  private StageConnections() {}

  static Step<AgentState, AgentEffect> connected(AgentState state, PeerId peer) {
    StageState stages = state.stages();
    if (stages.reconnecting().isEmpty()) {
      return Step.of(state);
    }
    return Step.of(
        state.withStages(
            stages.withReconnecting(
                stages
                    .reconnecting()
                    .reject(entry -> entry._2.endpoint().value().equals(peer.nodeId())))));
  }

  /** Sends frames that may be lost with the closed connection again over a new one. */
  static Step<AgentState, AgentEffect> disconnected(AgentState state, long nowNanos, PeerId peer) {
    Seq<StageSession> affected =
        sessionsForwardingTo(
            state,
            stage ->
                stage.endpoint().value().equals(peer.nodeId())
                    && stage.incarnation().equals(peer.incarnation()));
    return resendUnconfirmed(state, nowNanos, affected);
  }

  static Step<AgentState, AgentEffect> connectFailed(
      AgentState state, long nowNanos, NodeAddress address) {
    Seq<StageSession> affected =
        sessionsForwardingTo(state, stage -> stage.address().equals(address));
    StageState stages = state.stages();
    boolean retriedRecently =
        stages
            .reconnecting()
            .get(address)
            .exists(reconnect -> nowNanos - reconnect.sinceNanos() < RETRY_INTERVAL_NANOS);
    if (!retriedRecently) {
      return resendUnconfirmed(state, nowNanos, affected);
    }
    Vector<AgentEffect> failures =
        affected
            .toVector()
            .map(
                session ->
                    StageSessionLifecycle.stageFailedMessage(
                        session,
                        session.openMessage().stageIndex() + 1,
                        RefusalReason.PEER_UNREACHABLE));
    return new Step<>(state, failures);
  }

  private static Step<AgentState, AgentEffect> resendUnconfirmed(
      AgentState state, long nowNanos, Seq<StageSession> sessions) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (StageSession session : sessions) {
      StageAddress next = session.nextStage().get();
      Step<AgentState, AgentEffect> resent =
          StageFrames.resendOutputs(step.state(), session, unconfirmedPositions(session));
      StageState stages = resent.state().stages();
      AgentState updated =
          resent.effects().isEmpty()
              ? resent.state()
              : resent
                  .state()
                  .withStages(
                      stages.withReconnecting(
                          stages
                              .reconnecting()
                              .put(next.address(), new Reconnect(next.endpoint(), nowNanos))));
      step = new Step<>(updated, step.effects().appendAll(resent.effects()));
    }
    return step;
  }

  /**
   * Returns the positions whose frames may be lost: those of the last replay if at most one output
   * followed it, else the last output if it was forwarded.
   */
  private static PositionRange unconfirmedPositions(StageSession session) {
    int last = Math.min(session.firstUnfinished() - 1, session.requested());
    int resent = session.replayRange().toExclusive();
    if (resent > 0 && resent >= last) {
      return new PositionRange(session.replayRange().from(), Math.max(last + 1, resent));
    }
    return last >= session.openMessage().rebuildPositions() && last >= 0
        ? new PositionRange(last, last + 1)
        : PositionRange.EMPTY;
  }

  private static Seq<StageSession> sessionsForwardingTo(
      AgentState state, java.util.function.Predicate<StageAddress> next) {
    return state
        .stages()
        .sessions()
        .values()
        .filter(session -> !session.isImporting() && session.nextStage().exists(next));
  }
}
