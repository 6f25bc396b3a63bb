package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.routing.EndpointLink;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.RefusalReason;
import io.zinniawood.core.model.StageAddress;
import java.util.function.Consumer;

/** Handles refusals and failures that stages report, and lost or restored endpoints. */
final class SessionFailures {
  /** Time for which a failed link is avoided; new sessions may use it again afterwards. */
  private static final long LINK_AVOIDANCE_NANOS = 10_000_000_000L;

  /** Number of failed links of one sender from which the sender itself counts as the cause. */
  private static final int SENDER_FAULT_MIN_LINKS = 2;

  private SessionFailures() {}

  /** Replaces a stage that refused the current epoch; refusals of older epochs are ignored. */
  static void sessionRefused(
      Turn turn, EndpointId sender, Incarnation incarnation, Message.SessionRefused message) {
    Session session = StageSessions.sessionInEpoch(turn, message.session(), message.epoch());
    if (session == null
        || !session.isStage(message.stageIndex(), sender)
        || !session.chain().get(message.stageIndex()).incarnation().equals(incarnation)) {
      return;
    }
    switch (message.reason()) {
      case STALE_EPOCH ->
          SessionRecovery.replace(turn, session, HashSet.empty(), ReplacedStageState.LOST);
      case DEADLINE_EXCEEDED -> ModelRequests.deadlinePassed(turn, session);
      case OVERLOADED, LEAVING -> stageOverloaded(turn, session, message);
      default ->
          SessionRecovery.replace(
              turn, session, HashSet.of(message.stageIndex()), ReplacedStageState.LOST);
    }
  }

  /**
   * Replaces a stage without capacity. Before the first input this takes a retry from the budget,
   * so that retries do not multiply an overload.
   */
  private static void stageOverloaded(Turn turn, Session session, Message.SessionRefused message) {
    EndpointId endpoint = session.chain().get(message.stageIndex()).endpoint();
    if (message.reason() == RefusalReason.OVERLOADED) {
      EndpointHealthTracker.recordOverload(turn, endpoint);
    } else {
      Membership.markLeaving(turn, endpoint);
    }
    if (session.inputSent() || Retries.tryAcquire(turn)) {
      SessionRecovery.replace(
          turn, session, HashSet.of(message.stageIndex()), ReplacedStageState.LOST);
    } else {
      StageSessions.close(turn, session);
      RequestCompletion.failModel(
          turn,
          session,
          Problem.notRunRetry(
              ProblemType.OVERLOADED,
              "endpoint %s accepts no more sessions".formatted(endpoint),
              500));
    }
  }

  /** Replaces a stage that a stage of the chain reports as failed in the current epoch. */
  static void stageFailed(
      Turn turn, EndpointId sender, Incarnation incarnation, Message.StageFailed message) {
    Session session = StageSessions.sessionInEpoch(turn, message.session(), message.epoch());
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
        // The refused frame belongs to an earlier epoch than the current one.
      }
      case REPLAY_UNAVAILABLE ->
          SessionRecovery.restartOrFail(
              turn, session, "endpoint %s no longer has the outputs to replay".formatted(sender));
      case PEER_UNREACHABLE -> peerUnreachable(turn, session, sender, message.stageIndex());
      case ENDPOINT_FAILED -> {
        EndpointHealthTracker.recordFailure(turn, failed);
        SessionRecovery.replace(
            turn, session, HashSet.of(message.stageIndex()), ReplacedStageState.LOST);
      }
      default ->
          SessionRecovery.replace(
              turn, session, HashSet.of(message.stageIndex()), ReplacedStageState.LOST);
    }
  }

  /**
   * Replaces the stage behind a failed link, or the sender if its links to other stages failed too,
   * as the sender is then the more likely cause.
   */
  private static void peerUnreachable(
      Turn turn, Session session, EndpointId sender, int failedIndex) {
    EndpointId failed = session.chain().get(failedIndex).endpoint();
    long untilNanos = turn.nowNanos() + LINK_AVOIDANCE_NANOS;
    turn.update(
        state ->
            state.withFleet(
                state.fleet().withDegradedLink(new EndpointLink(sender, failed), untilNanos)));
    int failedLinks =
        turn.fleet().degradedLinks().keySet().count(link -> link.from().equals(sender));
    int lost =
        failedLinks >= SENDER_FAULT_MIN_LINKS
            ? session.indexOf(sender).getOrElse(failedIndex)
            : failedIndex;
    SessionRecovery.replace(turn, session, HashSet.of(lost), ReplacedStageState.REACHABLE);
  }

  /** Replaces the stages of an endpoint that cannot be reached or runs in a new incarnation. */
  static void endpointLost(Turn turn, EndpointId endpoint, Incarnation lost) {
    forEach(
        turn,
        sessionsAt(turn, endpoint, lost),
        "endpoint-lost",
        session ->
            session
                .indexOf(endpoint)
                .forEach(
                    index ->
                        SessionRecovery.replace(
                            turn, session, HashSet.of(index), ReplacedStageState.LOST)));
  }

  /** Handles each session; a failure ends only the request of that session. */
  private static void forEach(
      Turn turn, Vector<Session> sessions, String subject, Consumer<Session> handler) {
    for (Session session : sessions) {
      FailureContainment.run(
          turn, subject, Option.some(session.arrival().request()), () -> handler.accept(session));
    }
  }

  /** Opens a new epoch for the sessions of an endpoint whose connection was replaced. */
  static void endpointReconnected(Turn turn, EndpointId endpoint, Incarnation incarnation) {
    forEach(
        turn,
        sessionsAt(turn, endpoint, incarnation),
        "endpoint-reconnected",
        session ->
            SessionRecovery.replace(turn, session, HashSet.empty(), ReplacedStageState.LOST));
  }

  /**
   * Tries again to replace stages in the sessions that wait for one, as an endpoint has become
   * available.
   */
  static void endpointAvailable(Turn turn) {
    Vector<Session> waiting =
        turn.state()
            .sessions()
            .values()
            .filter(session -> session.phase() == SessionPhase.WAITING_FOR_STAGE)
            .toVector()
            .sortBy(Session::id);
    forEach(
        turn,
        waiting,
        "endpoint-available",
        session -> SessionRecovery.retryReplacement(turn, session));
  }

  private static Vector<Session> sessionsAt(
      Turn turn, EndpointId endpoint, Incarnation incarnation) {
    return turn.state()
        .sessions()
        .values()
        .filter(
            session ->
                session.phase() != SessionPhase.WAITING_FOR_STAGE
                    && session.chain().exists(stage -> isAt(stage, endpoint, incarnation)))
        .toVector()
        .sortBy(Session::id);
  }

  private static boolean isAt(StageAddress stage, EndpointId endpoint, Incarnation incarnation) {
    return stage.endpoint().equals(endpoint) && stage.incarnation().equals(incarnation);
  }
}
