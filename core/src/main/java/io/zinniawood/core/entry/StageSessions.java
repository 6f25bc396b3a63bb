package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.zinniawood.core.entry.routing.Stage;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.StageAddress;

/** Drives stage sessions: opens epochs, sends inputs and delivers tokens. */
final class StageSessions {
  private StageSessions() {}

  static Vector<StageAddress> addresses(Vector<Stage> chain) {
    return chain.map(
        stage ->
            new StageAddress(
                stage.member().endpoint(),
                stage.member().incarnation().get(),
                stage.member().placement().address(),
                stage.layers()));
  }

  /** Counts one session at each stage. */
  static void take(Turn turn, Vector<Stage> stages) {
    for (Stage stage : stages) {
      double nextPass = stage.member().pass() + 1 / stage.weight();
      turn.updateMember(stage.member().endpoint(), member -> member.taken(nextPass));
    }
  }

  /** Asks every stage to open the session's epoch. */
  static void open(Turn turn, Session session) {
    turn.putSession(session);
    for (int index = 0; index < session.chain().length(); index++) {
      StageAddress stage = session.chain().get(index);
      turn.send(stage.endpoint(), stage.incarnation(), openMessage(turn, session, index));
    }
    turn.startTimer(
        new EntryTimer.SessionProgress(session.id(), session.epoch()),
        turn.cluster().routing().progressTimeoutMillis() * 1_000_000);
  }

  static void opened(Turn turn, EndpointId sender, Message.SessionOpened message) {
    Session session = turn.state().sessions().get(message.session()).getOrNull();
    if (session == null
        || !session.epoch().equals(message.epoch())
        || session.phase() != SessionPhase.OPENING
        || !isStage(session, message.stageIndex(), sender)) {
      return;
    }
    Session confirmed = session.confirm(message.stageIndex(), message.nextPosition());
    if (confirmed.allConfirmed()) {
      sendStep(turn, confirmed);
    } else {
      turn.putSession(confirmed);
    }
  }

  static void token(Turn turn, EndpointId sender, Message.Token message) {
    Session session = turn.state().sessions().get(message.session()).getOrNull();
    if (session == null
        || !session.epoch().equals(message.epoch())
        || session.progress().nextPosition() != message.position()
        || !session.stepSent()
        || !session.chain().last().endpoint().equals(sender)) {
      return;
    }
    Session moved =
        session.withProgress(session.progress().delivered(message.text(), turn.nowNanos()));
    turn.emit(new EntryEffect.ReplyToken(session.arrival().request(), message.text()));
    if (message.finish().isDefined()) {
      close(turn, moved);
      Answers.finishModel(turn, moved, message.finish().get());
    } else {
      sendStep(turn, moved);
    }
  }

  static void refused(Turn turn, EndpointId sender, Message.SessionRefused message) {
    Session session = turn.state().sessions().get(message.session()).getOrNull();
    if (session != null
        && session.epoch().equals(message.epoch())
        && isStage(session, message.stageIndex(), sender)) {
      fail(turn, session, "stage %d refused: %s".formatted(message.stageIndex(), message.reason()));
    }
  }

  static void stageFailed(Turn turn, Message.StageFailed message) {
    Session session = turn.state().sessions().get(message.session()).getOrNull();
    if (session != null && session.epoch().equals(message.epoch())) {
      fail(turn, session, "stage %d failed: %s".formatted(message.stageIndex(), message.reason()));
    }
  }

  /** Releases the stages and their counts. */
  static void close(Turn turn, Session session) {
    for (StageAddress stage : session.chain()) {
      turn.send(stage.endpoint(), stage.incarnation(), new Message.CloseSession(session.id()));
      turn.updateMember(stage.endpoint(), member -> member.released());
    }
    turn.cancelTimer(new EntryTimer.SessionProgress(session.id(), session.epoch()));
  }

  /** Fails a session that cannot go on. */
  static void fail(Turn turn, Session session, String detail) {
    close(turn, session);
    Problem problem =
        session.stepSent()
            ? Problem.unknown(ProblemType.ENDPOINT_FAILED, detail)
            : Problem.notRun(ProblemType.ENDPOINT_FAILED, detail);
    Answers.failModel(turn, session, problem);
  }

  private static void sendStep(Turn turn, Session session) {
    Session running = session.running();
    turn.putSession(running);
    StageAddress first = running.chain().head();
    int position = running.progress().nextPosition();
    turn.send(
        first.endpoint(),
        first.incarnation(),
        new Message.StepInput(running.id(), running.epoch(), position, input(running, position)));
  }

  private static Payload input(Session session, int position) {
    return position == 0
        ? session.arrival().prompt()
        : Payload.ofText(session.progress().tokens().get(position - 1));
  }

  private static boolean isStage(Session session, int index, EndpointId endpoint) {
    return index >= 0
        && index < session.chain().length()
        && session.chain().get(index).endpoint().equals(endpoint);
  }

  private static Message.OpenSession openMessage(Turn turn, Session session, int index) {
    var arrival = session.arrival();
    StageAddress stage = session.chain().get(index);
    return new Message.OpenSession(
        session.id(),
        session.epoch(),
        stage.incarnation(),
        arrival.clientAccount(),
        arrival.model(),
        session.chain(),
        index,
        arrival.maxTokens(),
        arrival.priority(),
        Math.max(0, arrival.deadlineNanos() - turn.nowNanos()) / 1_000_000,
        Admission.weight(turn, arrival.clientAccount()),
        0,
        io.vavr.control.Option.none());
  }
}
