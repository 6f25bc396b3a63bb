package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.zinniawood.core.entry.routing.LinkPair;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.StageAddress;

/** Reacts to refusals and failures that stages report, and to lost endpoints. */
final class SessionFailures {
  /** A failed link is avoided for this time; a new session tries it again afterwards. */
  private static final long LINK_AVOIDED_NANOS = 10_000_000_000L;

  private SessionFailures() {}

  static void refused(
      Turn turn, EndpointId sender, Incarnation incarnation, Message.SessionRefused message) {
    Session session = StageSessions.current(turn, message.session(), message.epoch());
    if (session == null
        || !session.isStage(message.stageIndex(), sender)
        || !session.chain().get(message.stageIndex()).incarnation().equals(incarnation)) {
      return;
    }
    switch (message.reason()) {
      case STALE_EPOCH -> SessionRecovery.replace(turn, session, HashSet.empty());
      case DEADLINE_EXCEEDED -> ModelRequests.deadline(turn, session);
      case OVERLOADED, LEAVING -> crowdedOut(turn, session, message);
      default -> SessionRecovery.replace(turn, session, HashSet.of(message.stageIndex()));
    }
  }

  /** A stage without room is replaced as a retry, so that overload does not multiply. */
  private static void crowdedOut(Turn turn, Session session, Message.SessionRefused message) {
    EndpointId endpoint = session.chain().get(message.stageIndex()).endpoint();
    if (message.reason() == RefusalReason.OVERLOADED) {
      Failures.overloaded(turn, endpoint);
    } else {
      Membership.leaving(turn, endpoint);
    }
    if (session.inputSent() || Retries.take(turn)) {
      SessionRecovery.replace(turn, session, HashSet.of(message.stageIndex()));
    } else {
      StageSessions.close(turn, session);
      Answers.failModel(
          turn,
          session,
          Problem.notRunRetry(
              ProblemType.OVERLOADED, "endpoint %s has no room".formatted(endpoint), 500));
    }
  }

  static void stageFailed(
      Turn turn, EndpointId sender, Incarnation incarnation, Message.StageFailed message) {
    Session session = StageSessions.current(turn, message.session(), message.epoch());
    if (session == null
        || !session
            .chain()
            .exists(s -> s.endpoint().equals(sender) && s.incarnation().equals(incarnation))
        || message.stageIndex() < 0
        || message.stageIndex() >= session.chain().length()) {
      return;
    }
    EndpointId failed = session.chain().get(message.stageIndex()).endpoint();
    switch (message.reason()) {
      case STALE_EPOCH -> {
        // The present epoch is newer than the frame that was refused.
      }
      case REPLAY_UNAVAILABLE ->
          SessionRecovery.giveUp(
              turn, session, "endpoint %s no longer keeps the outputs to replay".formatted(sender));
      case PEER_UNREACHABLE -> {
        long untilNanos = turn.nowNanos() + LINK_AVOIDED_NANOS;
        LinkPair link = new LinkPair(sender, failed);
        turn.update(state -> state.withFleet(state.fleet().withDegraded(link, untilNanos)));
        SessionRecovery.replace(turn, session, HashSet.of(message.stageIndex()));
      }
      case ENDPOINT_FAILED -> {
        Failures.failed(turn, failed);
        SessionRecovery.replace(turn, session, HashSet.of(message.stageIndex()));
      }
      default -> SessionRecovery.replace(turn, session, HashSet.of(message.stageIndex()));
    }
  }

  /** Replaces the stages of an endpoint that cannot be reached or runs in a new incarnation. */
  static void endpointLost(Turn turn, EndpointId endpoint, Incarnation lost) {
    for (Session session : sessionsAt(turn, endpoint, lost)) {
      session
          .indexOf(endpoint)
          .forEach(index -> SessionRecovery.replace(turn, session, HashSet.of(index)));
    }
  }

  /** Continues the sessions of an endpoint whose connection was replaced. */
  static void endpointBack(Turn turn, EndpointId endpoint, Incarnation incarnation) {
    for (Session session : sessionsAt(turn, endpoint, incarnation)) {
      SessionRecovery.replace(turn, session, HashSet.empty());
    }
  }

  private static Vector<Session> sessionsAt(
      Turn turn, EndpointId endpoint, Incarnation incarnation) {
    return turn.state()
        .sessions()
        .values()
        .filter(
            session ->
                session.phase() != SessionPhase.PARKED
                    && session.chain().exists(stage -> isAt(stage, endpoint, incarnation)))
        .toVector()
        .sortBy(Session::id);
  }

  private static boolean isAt(StageAddress stage, EndpointId endpoint, Incarnation incarnation) {
    return stage.endpoint().equals(endpoint) && stage.incarnation().equals(incarnation);
  }
}
