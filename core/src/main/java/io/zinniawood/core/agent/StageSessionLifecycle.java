package io.zinniawood.core.agent;

import io.vavr.control.Option;
import io.zinniawood.core.agent.EarlyFrames.Frame;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Capability;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.StageAddress;
import io.zinniawood.core.runtime.Step;

/** Opens stage sessions, moves them to new epochs and closes them. */
final class StageSessionLifecycle {
  /**
   * Time without frames after which a session is closed. An entry that lost the session sends no
   * message to close it; its caller has given up.
   */
  static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

  /** Closed epoch of a session that the entry closed: no later epoch opens it again. */
  private static final Epoch ALL_EPOCHS = new Epoch(Long.MAX_VALUE);

  private StageSessionLifecycle() {}

  static Step<AgentState, AgentEffect> open(
      AgentState state, long nowNanos, PeerId peer, Message.OpenSession open) {
    Option<RefusalReason> routingRefusal = routingRefusal(state, peer, open);
    if (routingRefusal.isDefined()) {
      return refuse(state, peer, open, routingRefusal.get());
    }
    Option<StageSession> present = state.stages().sessions().get(open.session());
    if (present.isDefined()) {
      return reopen(state, nowNanos, peer, open, present.get());
    }
    Option<RefusalReason> admissionRefusal = admissionRefusal(state, open);
    if (admissionRefusal.isDefined()) {
      return refuse(state, peer, open, admissionRefusal.get());
    }
    AgentEffect startIdleTimer =
        new AgentEffect.StartTimer(new AgentTimer.SessionIdle(open.session()), IDLE_TIMEOUT_NANOS);
    return ReducerSteps.then(
        Step.of(state, startIdleTimer),
        next ->
            open.importFrom().isDefined() && open.rebuildPositions() > 0
                ? CacheTransfer.openWithImport(next, nowNanos, peer, open)
                : create(next, nowNanos, peer, open));
  }

  private static Step<AgentState, AgentEffect> create(
      AgentState state, long nowNanos, PeerId peer, Message.OpenSession open) {
    StageSession session = StageSession.opened(peer, open, nowNanos, StageSession.NO_IMPORT);
    return confirmOpened(
        state.withStages(state.stages().withSession(session)), nowNanos, open.session());
  }

  /** Confirms the epoch and handles the frames that arrived before it was opened. */
  static Step<AgentState, AgentEffect> confirmOpened(
      AgentState state, long nowNanos, SessionId id) {
    StageSession session = state.stages().sessions().get(id).get();
    EarlyFrames early = state.stages().earlyFrames();
    Step<AgentState, AgentEffect> step =
        Step.of(
            state.withStages(state.stages().withEarlyFrames(early.without(id))),
            sessionOpenedMessage(session));
    for (Frame frame : early.of(id)) {
      step = ReducerSteps.then(step, next -> StageFrames.handleFrame(next, nowNanos, frame));
    }
    return step;
  }

  private static AgentEffect sessionOpenedMessage(StageSession session) {
    return new AgentEffect.Send(
        session.opener(),
        new Message.SessionOpened(
            session.id(),
            session.epoch(),
            session.openMessage().stageIndex(),
            session.firstUnfinished()));
  }

  private static Step<AgentState, AgentEffect> reopen(
      AgentState state,
      long nowNanos,
      PeerId peer,
      Message.OpenSession open,
      StageSession session) {
    if (!session.opener().equals(peer)
        || !session.openMessage().model().equals(open.model())
        || !session.openMessage().clientAccount().equals(open.clientAccount())) {
      return refuse(state, peer, open, RefusalReason.UNKNOWN_SESSION);
    }
    int epochOrder = open.epoch().compareTo(session.epoch());
    if (epochOrder < 0) {
      return refuse(state, peer, open, RefusalReason.STALE_EPOCH);
    }
    if (epochOrder == 0) {
      return session.isImporting() ? Step.of(state) : Step.of(state, sessionOpenedMessage(session));
    }
    StageSession reopened = session.reopened(open, nowNanos);
    AgentState next = state.withStages(state.stages().withSession(reopened));
    return session.isImporting()
        ? CacheTransfer.reopenDuringImport(next, nowNanos, reopened)
        : confirmOpened(next, nowNanos, open.session());
  }

  private static Option<RefusalReason> routingRefusal(
      AgentState state, PeerId peer, Message.OpenSession open) {
    if (!open.incarnation().equals(state.properties().incarnation())) {
      return Option.some(RefusalReason.WRONG_INCARNATION);
    }
    if (state.peers().get(peer).contains(PeerRole.AGENT)
        || open.stageIndex() < 0
        || open.stageIndex() >= open.chain().size()) {
      return Option.some(RefusalReason.NOT_SERVED);
    }
    StageAddress own = open.chain().get(open.stageIndex());
    boolean addressedToSelf =
        own.endpoint().equals(state.properties().endpoint())
            && own.incarnation().equals(state.properties().incarnation());
    return addressedToSelf ? Option.none() : Option.some(RefusalReason.NOT_SERVED);
  }

  private static Option<RefusalReason> admissionRefusal(
      AgentState state, Message.OpenSession open) {
    if (state.stages().isClosed(open.session(), open.epoch())) {
      return Option.some(RefusalReason.UNKNOWN_SESSION);
    }
    if (state.leaving()) {
      return Option.some(RefusalReason.LEAVING);
    }
    if (!serves(state, open)) {
      return Option.some(RefusalReason.NOT_SERVED);
    }
    if (open.remainingMillis() <= 0) {
      return Option.some(RefusalReason.DEADLINE_EXCEEDED);
    }
    return state.stages().sessions().size() >= AgentStatus.concurrencyLimit(state)
        ? Option.some(RefusalReason.OVERLOADED)
        : Option.none();
  }

  private static boolean serves(AgentState state, Message.OpenSession open) {
    return state
        .capability()
        .exists(
            capability ->
                capability instanceof Capability.ModelStage stage
                    && stage.model().equals(open.model())
                    && stage.layers().equals(open.chain().get(open.stageIndex()).layers()));
  }

  private static Step<AgentState, AgentEffect> refuse(
      AgentState state, PeerId peer, Message.OpenSession open, RefusalReason reason) {
    return Step.of(
        state,
        new AgentEffect.Send(
            peer,
            new Message.SessionRefused(open.session(), open.epoch(), open.stageIndex(), reason)));
  }

  /** Closes a session for all epochs, so that a delayed message does not open it again. */
  static Step<AgentState, AgentEffect> close(AgentState state, PeerId peer, SessionId id) {
    Option<StageSession> session = state.stages().sessions().get(id);
    if (session.isEmpty()) {
      StageState stages = state.stages();
      return Step.of(
          state.withStages(
              stages
                  .withEarlyFrames(stages.earlyFrames().without(id))
                  .withClosedEpoch(id, ALL_EPOCHS)));
    }
    if (!session.get().opener().equals(peer)) {
      return Step.of(
          state,
          ReducerSteps.log(
              NoticeKind.REFUSED,
              id,
              "close refused: %s did not open the session".formatted(peer)));
    }
    return remove(state.withStages(state.stages().withClosedEpoch(id, ALL_EPOCHS)), session.get());
  }

  /** Removes the sessions of earlier runs of an entry; an entry loses them when it restarts. */
  static Step<AgentState, AgentEffect> removeSessionsOfEarlierRun(AgentState state, PeerId peer) {
    Step<AgentState, AgentEffect> step = Step.of(state);
    for (StageSession session : state.stages().sessions().values()) {
      PeerId opener = session.opener();
      if (opener.nodeId().equals(peer.nodeId()) && !opener.equals(peer)) {
        step = ReducerSteps.then(step, next -> remove(withClosedEpoch(next, session), session));
      }
    }
    return step;
  }

  private static AgentState withClosedEpoch(AgentState state, StageSession session) {
    return state.withStages(state.stages().withClosedEpoch(session.id(), session.epoch()));
  }

  /** Removes a session and releases its memory in the agent and on the engine. */
  static Step<AgentState, AgentEffect> remove(AgentState state, StageSession session) {
    StageState stages = state.stages();
    StageState without =
        stages
            .withSessions(stages.sessions().remove(session.id()))
            .withKeptBytes(stages.keptBytes() - session.keptOutputs().bytes())
            .withPendingExports(stages.pendingExports().remove(session.id()))
            .withReadySessions(
                session.pendingInputs().isEmpty()
                    ? stages.readySessions()
                    : stages.readySessions().remove(session.id()));
    return Step.of(
        state.withStages(without),
        new AgentEffect.CloseEngineSession(session.id()),
        new AgentEffect.CancelTimer(new AgentTimer.SessionIdle(session.id())));
  }

  /** Returns the message that tells the entry that a stage of the session cannot continue. */
  static AgentEffect stageFailedMessage(
      StageSession session, int stageIndex, RefusalReason reason) {
    return new AgentEffect.Send(
        session.opener(),
        new Message.StageFailed(session.id(), session.epoch(), stageIndex, reason));
  }

  /** Closes a session whose engine state is lost; a later epoch may open and rebuild it. */
  static Step<AgentState, AgentEffect> fail(
      AgentState state, StageSession session, RefusalReason reason, String detail) {
    Step<AgentState, AgentEffect> removed = remove(withClosedEpoch(state, session), session);
    return removed
        .and(stageFailedMessage(session, session.openMessage().stageIndex(), reason))
        .and(ReducerSteps.log(NoticeKind.FAILED, session.id(), detail));
  }

  static Step<AgentState, AgentEffect> handleIdleTimer(
      AgentState state, long nowNanos, SessionId id) {
    Option<StageSession> session = state.stages().sessions().get(id);
    if (session.isEmpty()) {
      return Step.of(state);
    }
    long idleNanos = nowNanos - session.get().lastFrameNanos();
    if (idleNanos < IDLE_TIMEOUT_NANOS) {
      return Step.of(
          state,
          new AgentEffect.StartTimer(
              new AgentTimer.SessionIdle(id), IDLE_TIMEOUT_NANOS - idleNanos));
    }
    return remove(withClosedEpoch(state, session.get()), session.get())
        .and(
            stageFailedMessage(
                session.get(),
                session.get().openMessage().stageIndex(),
                RefusalReason.UNKNOWN_SESSION))
        .and(
            ReducerSteps.log(
                NoticeKind.SESSION,
                id,
                "session closed: no frame arrived within the idle timeout"));
  }
}
