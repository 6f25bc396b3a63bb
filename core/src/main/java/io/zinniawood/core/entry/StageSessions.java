package io.zinniawood.core.entry;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.routing.ChainSelector.SelectedStage;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Epoch;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.StageAddress;

/** Runs stage sessions: opens epochs, sends inputs and delivers tokens. */
final class StageSessions {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private StageSessions() {}

  /** Returns the addresses of stages, bound to the current incarnations of their endpoints. */
  static Vector<StageAddress> addresses(Vector<SelectedStage> chain) {
    return chain
        .map(SelectedStage::stage)
        .map(
            stage ->
                new StageAddress(
                    stage.member().endpoint(),
                    stage.member().connection().incarnation().get(),
                    stage.member().placement().address(),
                    stage.layers()));
  }

  /** Adds a session to the in-flight count of each stage's endpoint. */
  static void reserveSlots(Turn turn, Vector<SelectedStage> chain) {
    for (SelectedStage selected : chain) {
      turn.updateMember(
          selected.stage().member().endpoint(),
          member -> member.with(member.workload().acquired(selected.virtualTime())));
    }
  }

  /** Removes a session from the in-flight count of a stage's endpoint. */
  static void releaseSlot(Turn turn, StageAddress stage) {
    turn.updateMember(stage.endpoint(), member -> member.with(member.workload().released()));
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

  /**
   * Records a stage's confirmation of the current epoch and resumes the session once all stages
   * have confirmed.
   */
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

  /** Delivers the token of the next position in the current epoch and ignores all other tokens. */
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
    Session advanced =
        session.withProgress(
            session.progress().withToken(message.text(), session.epoch(), turn.nowNanos()));
    turn.emit(new EntryEffect.ReplyToken(session.arrival().request(), message.text()));
    Option<FinishReason> finish =
        message
            .finish()
            .orElse(
                Option.when(
                    advanced.nextPosition() >= session.arrival().maxTokens(), FinishReason.LENGTH));
    if (finish.isDefined()) {
      close(turn, advanced);
      SessionRecovery.recordSuccess(turn, advanced);
      RequestCompletion.finishModel(turn, advanced, finish.get());
    } else {
      turn.putSession(advanced.withPhase(SessionPhase.RUNNING));
      sendInput(turn, advanced, advanced.nextPosition());
      if (advanced.nextPosition() == 1) {
        SessionTimeouts.start(turn, advanced);
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

  /** Closes the session at all stages and removes it from their in-flight counts. */
  static void close(Turn turn, Session session) {
    for (StageAddress stage : session.chain()) {
      closeStage(turn, session, stage);
      releaseSlot(turn, stage);
    }
    session.retired().forEach(stage -> closeStage(turn, session, stage));
    turn.cancelTimer(new EntryTimer.SessionProgressTimeout(session.id(), session.epoch()));
  }

  /** Closes the session at the stages of earlier epochs that are not in the current chain. */
  static Session closeRetired(Turn turn, Session session) {
    session
        .retired()
        .reject(stage -> SessionRecovery.containsIncarnation(session.chain(), stage))
        .forEach(stage -> closeStage(turn, session, stage));
    return session.withRetired(Vector.empty());
  }

  /** Tells a stage to release its state of the session. */
  static void closeStage(Turn turn, Session session, StageAddress stage) {
    turn.send(stage.endpoint(), stage.incarnation(), new Message.CloseSession(session.id()));
  }

  /** Returns the session if the epoch is its current one, otherwise null. */
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
    boolean mustRebuild = session.endpointsToRebuild().contains(stage.endpoint());
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
        mustRebuild ? session.nextPosition() : 0,
        mustRebuild ? importSource(turn, session, stage) : Option.none());
  }

  /**
   * Returns the address of a retired stage with the same layers whose agent is still connected,
   * from which a new stage imports the KV cache; none before the first token.
   */
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
