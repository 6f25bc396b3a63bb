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

/** Replaces lost or stalled stages, or gives the session up. */
final class SessionRecovery {
  /** Epochs without a token; bounds the work for a request whose endpoints fail repeatedly. */
  private static final int MAX_EPOCHS = 32;

  /** A mean over fewer tokens says little about a stage. */
  private static final int SPEED_TOKENS = 4;

  private SessionRecovery() {}

  /**
   * Opens the same chain in the next epoch. The stages that answer are alive, and the positions
   * that they report tell where the step stopped.
   */
  static void probe(Turn turn, Session session) {
    if (exhausted(turn, session)) {
      return;
    }
    Set<Integer> gone = disconnected(turn, session);
    if (gone.nonEmpty()) {
      replace(turn, session, gone, OldStage.LOST);
    } else {
      nextEpoch(turn, session, session.chain(), SessionPhase.PROBING, HashSet.empty());
    }
  }

  /** Replaces stages that answer but make no progress, if the endpoint or the budget allows it. */
  static void blame(Turn turn, Session session, Set<Integer> stalled) {
    boolean ejected =
        stalled.exists(
            index ->
                turn.fleet()
                    .member(session.chain().get(index).endpoint())
                    .exists(member -> member.health().ejected(turn.nowNanos())));
    stalled.forEach(index -> Failures.failed(turn, session.chain().get(index).endpoint()));
    if (ejected || Retries.take(turn)) {
      replace(turn, session, stalled, OldStage.LOST);
    } else {
      probe(turn, session);
    }
  }

  /** Replaces stages and goes on in the next epoch, or waits until there are substitutes. */
  static void replace(Turn turn, Session session, Set<Integer> lost, OldStage old) {
    if (exhausted(turn, session)) {
      return;
    }
    if (lost.isEmpty()) {
      nextEpoch(turn, session, session.chain(), SessionPhase.OPENING, HashSet.empty());
      return;
    }
    Option<ChainRepair> found = ChainRepair.of(turn, session, lost);
    if (found.isEmpty()) {
      park(turn, session, lost);
      return;
    }
    ChainRepair repair = found.get();
    StageSessions.take(turn, repair.substitutes());
    Vector<StageAddress> removed = lost.toVector().sorted().map(session.chain()::get);
    removed.forEach(stage -> StageSessions.release(turn, stage));
    Session retiring = session;
    if (old == OldStage.ANSWERS) {
      retiring = session.withRetired(session.retired().appendAll(removed));
    } else {
      removed.forEach(stage -> StageSessions.closeStage(turn, session, stage));
    }
    reportReplaced(turn, session, removed, repair.fresh());
    nextEpoch(turn, retiring, repair.chain(), SessionPhase.OPENING, repair.fresh());
  }

  /** Tells whether one of the stages is the same run of the same endpoint. */
  static boolean sameRun(Vector<StageAddress> stages, StageAddress wanted) {
    return stages.exists(
        stage ->
            stage.endpoint().equals(wanted.endpoint())
                && stage.incarnation().equals(wanted.incarnation()));
  }

  private static void nextEpoch(
      Turn turn,
      Session session,
      Vector<StageAddress> chain,
      SessionPhase phase,
      Set<EndpointId> fresh) {
    turn.cancelTimer(new EntryTimer.SessionProgressTimeout(session.id(), session.epoch()));
    Set<EndpointId> rebuilt =
        fresh.addAll(
            session.phase().awaitsStages() || session.phase() == SessionPhase.PARKED
                ? session.fresh().filter(e -> chain.exists(s -> s.endpoint().equals(e)))
                : HashSet.empty());
    StageSessions.open(turn, session.nextEpoch(chain, phase, rebuilt));
  }

  /** Gives up a session whose chains brought no token for too long. */
  private static boolean exhausted(Turn turn, Session session) {
    boolean exhausted = session.epoch().value() - session.progress().tokenEpoch() >= MAX_EPOCHS;
    if (exhausted) {
      giveUp(turn, session, "%d chains brought no token".formatted(MAX_EPOCHS));
    }
    return exhausted;
  }

  /**
   * Waits for a stage to become available, or for the same one to take the session again. What was
   * delivered stays delivered.
   */
  private static void park(Turn turn, Session session, Set<Integer> lost) {
    if (!session.inputSent() && disconnected(turn, session).isEmpty()) {
      giveUp(turn, session, "no other endpoint has room for layers of the model");
      return;
    }
    Set<EndpointId> rebuilt = lost.map(index -> session.chain().get(index).endpoint());
    Session parked =
        session.parked(rebuilt).withProgress(session.progress().moved(turn.nowNanos()));
    turn.putSession(parked);
    SessionTimeouts.start(turn, parked);
  }

  /** Tries again to replace the stages that are gone. */
  static void unpark(Turn turn, Session session) {
    Set<Integer> gone = disconnected(turn, session).addAll(unservable(turn, session));
    replace(turn, session, gone, OldStage.LOST);
  }

  /** Starts the request again on a new session, as nothing was delivered; otherwise fails it. */
  static void giveUp(Turn turn, Session session, String detail) {
    int maxAttempts = turn.cluster().retries().maxAttempts();
    boolean again =
        session.position() == 0 && session.sessions() < maxAttempts && Retries.take(turn);
    StageSessions.close(turn, session);
    if (!again) {
      Answers.failModel(turn, session, failure(session, detail));
      return;
    }
    turn.update(state -> state.withSessions(state.sessions().remove(session.id())));
    Session delayed =
        Session.first(
                turn.nextSessionId(),
                session.arrival(),
                session.sessions() + 1,
                Vector.empty(),
                session.progress().moved(turn.nowNanos()))
            .withPhase(SessionPhase.DELAYED);
    Session counted = session.inputSent() ? delayed.running(SessionPhase.DELAYED) : delayed;
    turn.putSession(counted);
    OpenRequests.put(turn, session.arrival().request(), new OpenRequest.OfModel(counted.id()));
    turn.startTimer(
        new EntryTimer.RetryDelay(session.arrival().request()),
        Retries.delayNanos(turn, session.sessions()));
  }

  /** Opens the new session after its delay. */
  static void delayOver(Turn turn, Session session) {
    if (session.phase() == SessionPhase.DELAYED) {
      ModelRequests.route(turn, session);
    }
  }

  /** Counts a finished answer for the health, the limit and the speed of its stages. */
  static void succeeded(Turn turn, Session session) {
    session.chain().forEach(stage -> Failures.succeeded(turn, stage.endpoint()));
    boolean undisturbed = session.epoch().value() == 1;
    if (undisturbed && session.position() >= SPEED_TOKENS) {
      sampleSpeeds(turn, session);
    }
  }

  private static void sampleSpeeds(Turn turn, Session session) {
    double gapNanos = session.progress().meanGapNanos();
    TokenGapEstimates speeds = turn.fleet().speeds();
    DataCentreId from = turn.state().self().dataCentre();
    for (StageAddress stage : session.chain()) {
      speeds =
          speeds.withSample(new TokenGapEstimates.InboundLink(from, stage.endpoint()), gapNanos);
      from =
          turn.fleet()
              .member(stage.endpoint())
              .map(member -> member.placement().dataCentre())
              .getOrElse(from);
    }
    TokenGapEstimates sampled = speeds;
    turn.update(state -> state.withFleet(state.fleet().withSpeeds(sampled)));
  }

  /** Returns the problem of a session that is given up; it did not run if no input was sent. */
  static Problem failure(Session session, String detail) {
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

  /** Returns the stages whose endpoints no longer hold the layers or take no new session. */
  private static Set<Integer> unservable(Turn turn, Session session) {
    return Vector.range(0, session.chain().length())
        .reject(
            index -> {
              StageAddress stage = session.chain().get(index);
              return turn.fleet()
                  .member(stage.endpoint())
                  .filter(
                      member ->
                          member.acceptsWork() || !session.fresh().contains(member.endpoint()))
                  .flatMap(member -> Selection.modelStage(member, session.arrival().model()))
                  .exists(served -> served.layers().equals(stage.layers()));
            })
        .toSet();
  }

  private static void reportReplaced(
      Turn turn, Session session, Vector<StageAddress> removed, Set<EndpointId> fresh) {
    turn.recordIncidentOnce(
        IncidentKind.STAGE_REPLACED,
        removed.map(stage -> stage.endpoint().value()).mkString(","),
        "request %s goes on at position %d of epoch %d with %s"
            .formatted(
                session.arrival().request(),
                session.position(),
                session.epoch().value() + 1,
                fresh.toVector().sorted().mkString(",")));
  }
}
