package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.EarlyFrames.Frame;
import io.zinniawood.core.agent.StageSession.PositionRange;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Handles frames of stage sessions and replays of kept outputs. */
final class StageFrames {
  private StageFrames() {}

  static Step<AgentState, AgentEffect> handleFrame(AgentState state, long nowNanos, Frame frame) {
    Option<StageSession> present = state.stages().sessions().get(frame.session());
    if (present.isEmpty()) {
      return state.stages().isClosed(frame.session(), frame.epoch())
          ? refuse(state, frame, "the session is closed")
          : bufferEarly(state, frame);
    }
    StageSession session = present.get();
    int epochOrder = frame.epoch().compareTo(session.epoch());
    if (epochOrder > 0 || session.isImporting()) {
      return bufferEarly(state, frame);
    }
    if (epochOrder < 0) {
      return refuseStaleEpoch(state, frame, session);
    }
    if (!isFromPreviousStage(session, frame)) {
      return refuse(
          state,
          frame,
          "the sender is not the previous stage or, at the first stage, the session's entry");
    }
    return handleCurrentEpoch(state, nowNanos, frame, session);
  }

  private static Step<AgentState, AgentEffect> handleCurrentEpoch(
      AgentState state, long nowNanos, Frame frame, StageSession session) {
    int position = frame.position();
    if (position < 0) {
      return refuse(state, frame, "the position is negative");
    }
    if (position > session.firstUnaccepted()) {
      // A repeated step may arrive before the replayed positions that precede it.
      return bufferEarly(state, frame);
    }
    StageSession requested = session.requested(position, nowNanos);
    if (position == session.firstUnaccepted()) {
      return ReducerSteps.then(
          acceptNext(state, requested, frame.payload()),
          next -> acceptBufferedSuccessor(next, nowNanos, frame));
    }
    AgentState next = state.withStages(state.stages().withSession(requested));
    if (position >= session.firstUnfinished() || !requested.shouldForward(position)) {
      return Step.of(next);
    }
    return resendOutputs(next, requested, new PositionRange(position, position + 1));
  }

  private static Step<AgentState, AgentEffect> acceptNext(
      AgentState state, StageSession session, Payload input) {
    StageState stages = state.stages().withSession(session.withAcceptedInput(input));
    StageState ready =
        session.pendingInputs().isEmpty()
            ? stages.withReadySessions(stages.readySessions().append(session.id()))
            : stages;
    return StageBatchScheduler.startNextBatch(state.withStages(ready));
  }

  /** Accepts the buffered frame of the position after an accepted one, if there is one. */
  private static Step<AgentState, AgentEffect> acceptBufferedSuccessor(
      AgentState state, long nowNanos, Frame accepted) {
    EarlyFrames early = state.stages().earlyFrames();
    if (early.frames().isEmpty()) {
      return Step.of(state);
    }
    Option<Frame> next =
        early
            .of(accepted.session())
            .find(
                frame ->
                    frame.position() == accepted.position() + 1
                        && frame.epoch().equals(accepted.epoch()));
    return next.map(
            frame ->
                handleFrame(
                    state.withStages(state.stages().withEarlyFrames(early.without(frame))),
                    nowNanos,
                    frame))
        .getOrElse(() -> Step.of(state));
  }

  private static boolean isFromPreviousStage(StageSession session, Frame frame) {
    return session
        .previousStage()
        .map(
            stage ->
                frame.origin() == EarlyFrames.Origin.ACTIVATION
                    && stage.endpoint().value().equals(frame.peer().nodeId())
                    && stage.incarnation().equals(frame.peer().incarnation()))
        .getOrElse(
            () ->
                frame.origin() == EarlyFrames.Origin.STEP && session.opener().equals(frame.peer()));
  }

  private static Step<AgentState, AgentEffect> bufferEarly(AgentState state, Frame frame) {
    return Step.of(
        state.withStages(state.stages().withEarlyFrames(state.stages().earlyFrames().add(frame))));
  }

  private static Step<AgentState, AgentEffect> refuseStaleEpoch(
      AgentState state, Frame frame, StageSession session) {
    Step<AgentState, AgentEffect> step =
        refuse(state, frame, "the current epoch is " + session.epoch());
    if (frame.origin() != EarlyFrames.Origin.STEP) {
      return step;
    }
    return step.and(
        new AgentEffect.Send(
            frame.peer(),
            new Message.StageFailed(
                session.id(),
                frame.epoch(),
                session.openMessage().stageIndex(),
                RefusalReason.STALE_EPOCH)));
  }

  private static Step<AgentState, AgentEffect> refuse(
      AgentState state, Frame frame, String reason) {
    return Step.of(
        state,
        ReducerSteps.log(
            NoticeKind.REFUSED,
            frame.session(),
            "frame of epoch %s, position %d from %s refused: %s"
                .formatted(frame.epoch(), frame.position(), frame.peer().nodeId(), reason)));
  }

  static Step<AgentState, AgentEffect> handleReplay(
      AgentState state, PeerId peer, Message.Replay replay) {
    Option<StageSession> present =
        state
            .stages()
            .sessions()
            .get(replay.session())
            .filter(
                session -> session.opener().equals(peer) && session.epoch().equals(replay.epoch()));
    if (present.isEmpty()) {
      return Step.of(
          state,
          ReducerSteps.log(
              NoticeKind.REFUSED,
              replay.session(),
              "replay of epoch %s refused: the sender has no open session of this epoch"
                  .formatted(replay.epoch())));
    }
    PositionRange positions =
        new PositionRange(replay.fromPosition(), replay.toPositionExclusive());
    StageSession session = present.get().withReplayRange(positions);
    AgentState next = state.withStages(state.stages().withSession(session));
    return session.isImporting() ? Step.of(next) : resendOutputs(next, session, positions);
  }

  /**
   * Sends the kept outputs of finished positions again. Sends none and reports REPLAY_UNAVAILABLE
   * if one of them is no longer kept.
   */
  static Step<AgentState, AgentEffect> resendOutputs(
      AgentState state, StageSession session, PositionRange positions) {
    Vector<AgentEffect> sends = Vector.empty();
    for (int position = positions.from();
        position < Math.min(positions.toExclusive(), session.firstUnfinished());
        position++) {
      Option<AgentEffect> send = outputMessage(session, position);
      if (send.isEmpty()) {
        return Step.of(
            state,
            StageSessionLifecycle.stageFailedMessage(
                session, session.openMessage().stageIndex(), RefusalReason.REPLAY_UNAVAILABLE));
      }
      sends = sends.append(send.get());
    }
    return new Step<>(state, sends);
  }

  /**
   * Returns the message with the kept output of a position; none if the output is no longer kept or
   * is a malformed token.
   */
  static Option<AgentEffect> outputMessage(StageSession session, int position) {
    return session
        .keptOutputs()
        .get(position)
        .flatMap(
            output ->
                session
                    .nextStage()
                    .map(
                        stage ->
                            Option.<AgentEffect>some(
                                new AgentEffect.SendToStage(
                                    stage,
                                    new Message.Activation(
                                        session.id(), session.epoch(), position, output))))
                    .getOrElse(() -> tokenMessage(session, position, output)));
  }

  private static Option<AgentEffect> tokenMessage(
      StageSession session, int position, Payload output) {
    return TokenOutput.decode(output)
        .map(
            token ->
                new AgentEffect.Send(
                    session.opener(),
                    new Message.Token(
                        session.id(), session.epoch(), position, token.text(), token.finish())));
  }
}
