package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.routing.TokenGapEstimates;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.StageAddress;

/** Replaces lost or stalled stages of a session, or restarts or fails its request. */
final class SessionRecovery {
  /** Limits the work for a request whose endpoints fail repeatedly. */
  private static final int MAX_EPOCHS_WITHOUT_TOKEN = 32;

  /** The mean time between the tokens of a shorter answer is too inaccurate as a sample. */
  private static final int MIN_TOKENS_FOR_GAP_SAMPLE = 4;

  private SessionRecovery() {}

  /**
   * Opens the same chain in the next epoch. The stages that answer are alive, and the positions
   * that they report show at which stage the step stopped.
   */
  static void probe(Turn turn, Session session) {
    if (restartOrFailIfExhausted(turn, session)) {
      return;
    }
    Set<Integer> lost = disconnected(turn, session);
    if (lost.nonEmpty()) {
      replace(turn, session, lost, ReplacedStageState.LOST);
    } else {
      openNextEpoch(turn, session, session.chain(), SessionPhase.PROBING, HashSet.empty());
    }
  }

  /**
   * Replaces stages that answer but make no progress. Takes a retry from the budget unless one of
   * the endpoints is ejected already; probes again if the budget is used up.
   */
  static void replaceStalled(Turn turn, Session session, Set<Integer> stalled) {
    boolean ejected =
        stalled.exists(
            index ->
                turn.fleet()
                    .member(session.chain().get(index).endpoint())
                    .exists(member -> member.health().ejected(turn.nowNanos())));
    stalled.forEach(
        index -> EndpointHealthTracker.recordFailure(turn, session.chain().get(index).endpoint()));
    if (ejected || Retries.tryAcquire(turn)) {
      replace(turn, session, stalled, ReplacedStageState.LOST);
    } else {
      probe(turn, session);
    }
  }

  /**
   * Replaces stages and continues in the next epoch, or waits until substitutes are available.
   * Opens the same chain again if there is no stage to replace.
   */
  static void replace(Turn turn, Session session, Set<Integer> lost, ReplacedStageState state) {
    if (restartOrFailIfExhausted(turn, session)) {
      return;
    }
    Session counted = countLoss(turn, session, lost);
    if (failIfLostTooOften(turn, counted)) {
      return;
    }
    replaceStages(turn, counted, lost, state);
  }

  /** Counts the loss of stages that had work and whose endpoints are gone. */
  private static Session countLoss(Turn turn, Session session, Set<Integer> lost) {
    if (!session.inputSent() || disconnected(turn, session).intersect(lost).isEmpty()) {
      return session;
    }
    Session counted = session.withProgress(session.progress().withLoss(turn.nowNanos()));
    turn.putSession(counted);
    return counted;
  }

  /**
   * Fails a request whose endpoints were lost as often as it may be attempted, without a token in
   * between; returns whether it did. The request may be the cause, and must not be carried on to
   * further endpoints.
   */
  private static boolean failIfLostTooOften(Turn turn, Session session) {
    int losses = session.progress().lossesSinceToken();
    if (losses < turn.cluster().retries().maxAttempts()) {
      return false;
    }
    StageSessions.close(turn, session);
    RequestCompletion.failModel(
        turn,
        session,
        failureProblem(
            session, "endpoints were lost %d times before the next token".formatted(losses)));
    return true;
  }

  private static void replaceStages(
      Turn turn, Session session, Set<Integer> lost, ReplacedStageState state) {
    if (lost.isEmpty()) {
      openNextEpoch(turn, session, session.chain(), SessionPhase.OPENING, HashSet.empty());
      return;
    }
    Option<ChainRepair> found = ChainRepair.find(turn, session, lost);
    if (found.isEmpty()) {
      waitForStage(turn, session, lost);
      return;
    }
    ChainRepair repair = found.get();
    StageSessions.reserveSlots(turn, repair.substitutes());
    Vector<StageAddress> removed = lost.toVector().sorted().map(session.chain()::get);
    removed.forEach(stage -> StageSessions.releaseSlot(turn, stage));
    Session retiring = session;
    if (state == ReplacedStageState.REACHABLE) {
      retiring = session.withRetired(session.retired().appendAll(removed));
    } else {
      removed.forEach(stage -> StageSessions.closeStage(turn, session, stage));
    }
    reportReplaced(turn, session, removed, repair.newEndpoints());
    openNextEpoch(turn, retiring, repair.chain(), SessionPhase.OPENING, repair.newEndpoints());
  }

  /** Tells whether one of the stages has the same endpoint and incarnation. */
  static boolean containsIncarnation(Vector<StageAddress> stages, StageAddress wanted) {
    return stages.exists(
        stage ->
            stage.endpoint().equals(wanted.endpoint())
                && stage.incarnation().equals(wanted.incarnation()));
  }

  private static void openNextEpoch(
      Turn turn,
      Session session,
      Vector<StageAddress> chain,
      SessionPhase phase,
      Set<EndpointId> newEndpoints) {
    turn.cancelTimer(new EntryTimer.SessionProgressTimeout(session.id(), session.epoch()));
    Set<EndpointId> endpointsToRebuild =
        newEndpoints.addAll(
            session.phase().awaitsConfirmations()
                    || session.phase() == SessionPhase.WAITING_FOR_STAGE
                ? session
                    .endpointsToRebuild()
                    .filter(e -> chain.exists(s -> s.endpoint().equals(e)))
                : HashSet.empty());
    StageSessions.openEpoch(turn, session.nextEpoch(chain, phase, endpointsToRebuild));
  }

  /** Restarts or fails the request if too many epochs produced no token; returns whether it did. */
  private static boolean restartOrFailIfExhausted(Turn turn, Session session) {
    boolean exhausted =
        session.epoch().value() - session.progress().tokenEpoch() >= MAX_EPOCHS_WITHOUT_TOKEN;
    if (exhausted) {
      restartOrFail(
          turn, session, "%d epochs produced no token".formatted(MAX_EPOCHS_WITHOUT_TOKEN));
    }
    return exhausted;
  }

  /**
   * Waits until a substitute becomes available or the same endpoint accepts the session again;
   * delivered tokens are kept. Restarts or fails the request instead if no input was sent and all
   * stages are connected.
   */
  private static void waitForStage(Turn turn, Session session, Set<Integer> lost) {
    if (!session.inputSent() && disconnected(turn, session).isEmpty()) {
      restartOrFail(
          turn, session, "no other endpoint has capacity for the layers of the stages to replace");
      return;
    }
    Set<EndpointId> lostEndpoints = lost.map(index -> session.chain().get(index).endpoint());
    Session waiting =
        session
            .waitingForStage(lostEndpoints)
            .withProgress(session.progress().withProgressAt(turn.nowNanos()));
    turn.putSession(waiting);
    SessionTimeouts.start(turn, waiting);
  }

  /** Tries again to replace the stages that are disconnected or no longer serve the session. */
  static void retryReplacement(Turn turn, Session session) {
    Set<Integer> lost = disconnected(turn, session).addAll(notServing(turn, session));
    replace(turn, session, lost, ReplacedStageState.LOST);
  }

  /**
   * Restarts the request on a new session if no token was delivered and a retry is allowed;
   * otherwise fails it.
   */
  static void restartOrFail(Turn turn, Session session, String detail) {
    int maxAttempts = turn.cluster().retries().maxAttempts();
    boolean restart =
        session.nextPosition() == 0
            && session.sessionsUsed() < maxAttempts
            && Retries.tryAcquire(turn);
    StageSessions.close(turn, session);
    if (!restart) {
      RequestCompletion.failModel(turn, session, failureProblem(session, detail));
      return;
    }
    turn.update(state -> state.withSessions(state.sessions().remove(session.id())));
    Session created =
        Session.create(
                turn.nextSessionId(),
                session.arrival(),
                session.sessionsUsed() + 1,
                Vector.empty(),
                session.progress().withProgressAt(turn.nowNanos()))
            .withPhase(SessionPhase.RETRY_DELAY);
    Session restarted =
        session.inputSent() ? created.withInputSent(SessionPhase.RETRY_DELAY) : created;
    turn.putSession(restarted);
    OpenRequests.put(
        turn, session.arrival().request(), new OpenRequest.ModelRequest(restarted.id()));
    turn.startTimer(
        new EntryTimer.RetryDelay(session.arrival().request()),
        Retries.delayNanos(turn, session.sessionsUsed()));
  }

  /** Routes the new session after its retry delay. */
  static void retryDelayElapsed(Turn turn, Session session) {
    if (session.phase() == SessionPhase.RETRY_DELAY) {
      ModelRequests.route(turn, session);
    }
  }

  /**
   * Records a finished answer in the health, the limits and the token gap estimates of its stages.
   */
  static void recordSuccess(Turn turn, Session session) {
    session.chain().forEach(stage -> EndpointHealthTracker.recordSuccess(turn, stage.endpoint()));
    boolean undisturbed = session.epoch().value() == 1;
    if (undisturbed && session.nextPosition() >= MIN_TOKENS_FOR_GAP_SAMPLE) {
      sampleTokenGaps(turn, session);
    }
  }

  private static void sampleTokenGaps(Turn turn, Session session) {
    double gapNanos = session.progress().meanGapNanos();
    TokenGapEstimates tokenGaps = turn.fleet().tokenGaps();
    DataCentreId from = turn.state().self().dataCentre();
    for (StageAddress stage : session.chain()) {
      tokenGaps =
          tokenGaps.withSample(new TokenGapEstimates.InboundLink(from, stage.endpoint()), gapNanos);
      from =
          turn.fleet()
              .member(stage.endpoint())
              .map(member -> member.placement().dataCentre())
              .getOrElse(from);
    }
    TokenGapEstimates sampled = tokenGaps;
    turn.update(state -> state.withFleet(state.fleet().withTokenGaps(sampled)));
  }

  /** Returns the problem of a failed session. The outcome is not-run if no input was sent. */
  static Problem failureProblem(Session session, String detail) {
    return session.inputSent()
        ? Problem.unknown(ProblemType.ENDPOINT_FAILED, detail)
        : Problem.notRunRetry(ProblemType.OVERLOADED, detail, 500);
  }

  private static Set<Integer> disconnected(Turn turn, Session session) {
    return Vector.range(0, session.chain().length())
        .reject(
            index -> {
              StageAddress stage = session.chain().get(index);
              return turn.fleet().connectedAs(stage.endpoint(), stage.incarnation());
            })
        .toSet();
  }

  /**
   * Returns the stages whose endpoints no longer serve the layers, or that must be rebuilt at an
   * endpoint that accepts no new work.
   */
  private static Set<Integer> notServing(Turn turn, Session session) {
    return Vector.range(0, session.chain().length())
        .reject(
            index -> {
              StageAddress stage = session.chain().get(index);
              return turn.fleet()
                  .member(stage.endpoint())
                  .filter(
                      member ->
                          member.acceptsWork()
                              || !session.endpointsToRebuild().contains(member.endpoint()))
                  .flatMap(
                      member -> EndpointSelection.modelStage(member, session.arrival().model()))
                  .exists(served -> served.layers().equals(stage.layers()));
            })
        .toSet();
  }

  private static void reportReplaced(
      Turn turn, Session session, Vector<StageAddress> removed, Set<EndpointId> newEndpoints) {
    turn.recordIncidentOnce(
        IncidentKind.STAGE_REPLACED,
        removed.map(stage -> stage.endpoint().value()).mkString(","),
        "request %s continues at position %d in epoch %d with %s"
            .formatted(
                session.arrival().request(),
                session.nextPosition(),
                session.epoch().value() + 1,
                newEndpoints.toVector().sorted().mkString(",")));
  }
}
