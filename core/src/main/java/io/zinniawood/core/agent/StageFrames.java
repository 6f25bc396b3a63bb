package io.zinniawood.core.agent;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.agent.EarlyFrames.Frame;
import io.zinniawood.core.agent.StageSession.Positions;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.runtime.Step;

/** Accepts the next position of a session and sends kept outputs again. */
final class StageFrames {
  private StageFrames() {}

  static Step<AgentState, AgentEffect> frame(AgentState state, long nowNanos, Frame frame) {
    Option<StageSession> present = state.stages().sessions().get(frame.session());
    if (present.isEmpty()) {
      return state.stages().isClosed(frame.session(), frame.epoch())
          ? dropped(state, frame, "the session is closed")
          : keepEarly(state, frame);
    }
    StageSession session = present.get();
    int order = frame.epoch().compareTo(session.epoch());
    if (order > 0 || session.transferring()) {
      return keepEarly(state, frame);
    }
    if (order < 0) {
      return stale(state, frame, session);
    }
    if (!fromPrevious(session, frame)) {
      return dropped(state, frame, "the sender is not the previous stage");
    }
    return current(state, nowNanos, frame, session);
  }

  private static Step<AgentState, AgentEffect> current(
      AgentState state, long nowNanos, Frame frame, StageSession session) {
    int position = frame.position();
    if (position < 0) {
      return dropped(state, frame, "the position is negative");
    }
    if (position > session.accepted()) {
      // A repeated step may overtake the replay of the positions before it.
      return keepEarly(state, frame);
    }
    StageSession requested = session.requested(position, nowNanos);
    if (position == session.accepted()) {
      return ReducerSteps.then(
          accept(state, requested, frame.payload()), next -> following(next, nowNanos, frame));
    }
    AgentState next = state.withStages(state.stages().withSession(requested));
    if (position >= session.done() || !requested.forwards(position)) {
      return Step.of(next);
    }
    return sendAgain(next, requested, new Positions(position, position + 1));
  }

  private static Step<AgentState, AgentEffect> accept(
      AgentState state, StageSession session, Payload input) {
    StageState stages = state.stages().withSession(session.accept(input));
    StageState ready =
        session.pending().isEmpty()
            ? stages.withReady(stages.ready().append(session.id()))
            : stages;
    return StageEngine.runNext(state.withStages(ready));
  }

  /** Accepts a frame that arrived before the positions below it. */
  private static Step<AgentState, AgentEffect> following(
      AgentState state, long nowNanos, Frame accepted) {
    EarlyFrames early = state.stages().early();
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
                frame(
                    state.withStages(state.stages().withEarly(early.without(frame))),
                    nowNanos,
                    frame))
        .getOrElse(() -> Step.of(state));
  }

  private static boolean fromPrevious(StageSession session, Frame frame) {
    return session
        .previous()
        .map(
            stage ->
                frame.kind() == EarlyFrames.Kind.ACTIVATION
                    && stage.endpoint().value().equals(frame.peer().nodeId())
                    && stage.incarnation().equals(frame.peer().incarnation()))
        .getOrElse(
            () -> frame.kind() == EarlyFrames.Kind.STEP && session.opener().equals(frame.peer()));
  }

  private static Step<AgentState, AgentEffect> keepEarly(AgentState state, Frame frame) {
    return Step.of(state.withStages(state.stages().withEarly(state.stages().early().add(frame))));
  }

  private static Step<AgentState, AgentEffect> stale(
      AgentState state, Frame frame, StageSession session) {
    Step<AgentState, AgentEffect> step =
        dropped(state, frame, "the current epoch is " + session.epoch());
    if (frame.kind() != EarlyFrames.Kind.STEP) {
      return step;
    }
    return step.and(
        new AgentEffect.Send(
            frame.peer(),
            new Message.StageFailed(
                session.id(),
                frame.epoch(),
                session.open().stageIndex(),
                RefusalReason.STALE_EPOCH)));
  }

  private static Step<AgentState, AgentEffect> dropped(
      AgentState state, Frame frame, String reason) {
    return Step.of(
        state,
        ReducerSteps.log(
            NoticeKind.REFUSED,
            frame.session(),
            "frame of epoch %s, position %d from %s refused: %s"
                .formatted(frame.epoch(), frame.position(), frame.peer().nodeId(), reason)));
  }

  static Step<AgentState, AgentEffect> replay(
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
              "replay of epoch %s refused: unknown session or epoch".formatted(replay.epoch())));
    }
    Positions asked = new Positions(replay.fromPosition(), replay.toPositionExclusive());
    StageSession session = present.get().withResend(asked);
    AgentState next = state.withStages(state.stages().withSession(session));
    return session.transferring() ? Step.of(next) : sendAgain(next, session, asked);
  }

  /** Sends the kept outputs of the positions that the engine finished. */
  static Step<AgentState, AgentEffect> sendAgain(
      AgentState state, StageSession session, Positions asked) {
    Vector<AgentEffect> sends = Vector.empty();
    for (int at = asked.from(); at < Math.min(asked.toExclusive(), session.done()); at++) {
      Option<AgentEffect> send = forward(session, at);
      if (send.isEmpty()) {
        return Step.of(
            state,
            StageSessions.failure(
                session, session.open().stageIndex(), RefusalReason.REPLAY_UNAVAILABLE));
      }
      sends = sends.append(send.get());
    }
    return new Step<>(state, sends);
  }

  /** Returns the message with the kept output of a position; none if it is no longer kept. */
  static Option<AgentEffect> forward(StageSession session, int position) {
    return session
        .kept()
        .get(position)
        .flatMap(
            output ->
                session
                    .next()
                    .map(
                        stage ->
                            Option.<AgentEffect>some(
                                new AgentEffect.SendToStage(
                                    stage,
                                    new Message.Activation(
                                        session.id(), session.epoch(), position, output))))
                    .getOrElse(() -> token(session, position, output)));
  }

  private static Option<AgentEffect> token(StageSession session, int position, Payload output) {
    return TokenOutput.decode(output)
        .map(
            token ->
                new AgentEffect.Send(
                    session.opener(),
                    new Message.Token(
                        session.id(), session.epoch(), position, token.text(), token.finish())));
  }
}
