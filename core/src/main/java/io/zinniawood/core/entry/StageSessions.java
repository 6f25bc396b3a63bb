package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.routing.ChainSelector.Choosing;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.StageAddress;

/** Drives stage sessions: opens epochs, sends inputs and delivers tokens. */
final class StageSessions {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private StageSessions() {}

  /** Returns the stages bound to the present incarnations of their endpoints. */
  static Vector<StageAddress> addresses(Vector<Choosing> chain) {
    return chain
        .map(Choosing::stage)
        .map(
            stage ->
                new StageAddress(
                    stage.member().endpoint(),
                    stage.member().connection().incarnation().get(),
                    stage.member().placement().address(),
                    stage.layers()));
  }

  /** Counts one session at each stage. */
  static void reserveSlots(Turn turn, Vector<Choosing> chain) {
    for (Choosing choosing : chain) {
      turn.updateMember(
          choosing.stage().member().endpoint(),
          member -> member.with(member.work().taken(choosing.nextPass())));
    }
  }

  /** Gives back the count of one session at a stage. */
  static void releaseSlot(Turn turn, StageAddress stage) {
    turn.updateMember(stage.endpoint(), member -> member.with(member.work().released()));
  }

  /** Asks every stage to open the session's epoch. */
  static void openEpoch(Turn turn, Session session) {
    Session opening = session.withProgress(session.progress().withProgressAt(turn.nowNanos()));
    turn.putSession(opening);
    for (int index = 0; index < opening.chain().length(); index++) {
      StageAddress stage = opening.chain().get(index);
      turn.send(stage.endpoint(), stage.incarnation(), openMessage(turn, opening, index));
    }
    SessionTimeouts.start(turn, opening);
  }

  /** Counts a confirmation of the present epoch and goes on once all stages confirmed it. */
  static void stageConfirmed(
      Turn turn, EndpointId sender, Incarnation incarnation, Message.SessionOpened message) {
    Session session = sessionInEpoch(turn, message.session(), message.epoch());
    if (session == null
        || !session.isStage(message.stageIndex(), sender)
        || !session.chain().get(message.stageIndex()).incarnation().equals(incarnation)) {
      return;
    }
    int before = session.confirmedPositions().getOrElse(message.stageIndex(), Integer.MAX_VALUE);
    Session confirmed = session.withConfirmed(message.stageIndex(), message.nextPosition());
    if (message.nextPosition() > before) {
      confirmed = confirmed.withProgress(confirmed.progress().withProgressAt(turn.nowNanos()));
    }
    turn.putSession(confirmed);
    if (session.phase().awaitsConfirmations() && confirmed.allConfirmed()) {
      SessionRebuild.resume(turn, confirmed);
    } else if (session.phase().awaitsToken()
        && before < session.nextPosition()
        && message.nextPosition() >= session.nextPosition()) {
      sendInput(turn, confirmed, session.nextPosition());
    }
  }

  /** Delivers the token of the next position in the present epoch and refuses every other one. */
  static void tokenReceived(
      Turn turn, EndpointId sender, Incarnation incarnation, Message.Token message) {
    Session session = sessionInEpoch(turn, message.session(), message.epoch());
    if (session == null
        || session.nextPosition() != message.position()
        || !session.phase().awaitsToken()
        || !session.chain().last().endpoint().equals(sender)
        || !session.chain().last().incarnation().equals(incarnation)) {
      return;
    }
    Session moved =
        session.withProgress(
            session.progress().withToken(message.text(), session.epoch(), turn.nowNanos()));
    turn.emit(new EntryEffect.ReplyToken(session.arrival().request(), message.text()));
    Option<FinishReason> finish =
        message
            .finish()
            .orElse(
                Option.when(
                    moved.nextPosition() >= session.arrival().maxTokens(), FinishReason.LENGTH));
    if (finish.isDefined()) {
      close(turn, moved);
      SessionRecovery.recordSuccess(turn, moved);
      RequestCompletion.finishModel(turn, moved, finish.get());
    } else {
      turn.putSession(moved.withPhase(SessionPhase.RUNNING));
      sendInput(turn, moved, moved.nextPosition());
      if (moved.nextPosition() == 1) {
        SessionTimeouts.start(turn, moved);
      }
    }
  }

  /** Sends the input of a position to the first stage. */
  static void sendInput(Turn turn, Session session, int position) {
    StageAddress first = session.chain().head();
    Payload input =
        position == 0
            ? session.arrival().prompt()
            : Payload.ofText(session.progress().tokenTexts().get(position - 1));
    turn.send(
        first.endpoint(),
        first.incarnation(),
        new Message.StepInput(session.id(), session.epoch(), position, input));
  }

  /** Releases all stages and their counts. */
  static void close(Turn turn, Session session) {
    for (StageAddress stage : session.chain()) {
      closeStage(turn, session, stage);
      releaseSlot(turn, stage);
    }
    session.retired().forEach(stage -> closeStage(turn, session, stage));
    turn.cancelTimer(new EntryTimer.SessionProgress(session.id(), session.epoch()));
  }

  /** Closes the session at the stages of earlier epochs that are not in the chain again. */
  static Session closeRetired(Turn turn, Session session) {
    session
        .retired()
        .reject(stage -> SessionRecovery.containsIncarnation(session.chain(), stage))
        .forEach(stage -> closeStage(turn, session, stage));
    return session.withRetired(Vector.empty());
  }

  /** Lets a stage release what it holds of the session. */
  static void closeStage(Turn turn, Session session, StageAddress stage) {
    turn.send(stage.endpoint(), stage.incarnation(), new Message.CloseSession(session.id()));
  }

  /** Returns the session if the epoch is its present one, otherwise null. */
  static Session sessionInEpoch(Turn turn, SessionId id, Epoch epoch) {
    return turn.state()
        .sessions()
        .get(id)
        .filter(session -> session.epoch().equals(epoch))
        .getOrNull();
  }

  private static Message.OpenSession openMessage(Turn turn, Session session, int index) {
    var arrival = session.arrival();
    StageAddress stage = session.chain().get(index);
    boolean fresh = session.endpointsToRebuild().contains(stage.endpoint());
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
        Math.max(0, arrival.deadlineNanos() - turn.nowNanos()) / NANOS_PER_MILLI,
        Admission.weight(turn, arrival.clientAccount()),
        fresh ? session.nextPosition() : 0,
        fresh ? importSource(turn, session, stage) : Option.none());
  }

  /** Returns the retired stage with the same layers if its agent still answers. */
  private static Option<NodeAddress> importSource(Turn turn, Session session, StageAddress stage) {
    return session
        .retired()
        .findLast(
            old ->
                old.layers().equals(stage.layers())
                    && !old.endpoint().equals(stage.endpoint())
                    && turn.fleet().connectedAs(old.endpoint(), old.incarnation()))
        .filter(old -> session.nextPosition() > 0)
        .map(StageAddress::address);
  }
}
