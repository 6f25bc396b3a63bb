package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.RequestFingerprint;
import io.zinniawood.core.quarantine.CrashCandidate;
import io.zinniawood.core.quarantine.CrashId;
import io.zinniawood.core.quarantine.CrashQuarantine;
import io.zinniawood.core.quarantine.QuarantineChange;
import io.zinniawood.core.quarantine.StartOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/**
 * Observes which endpoints crash and which requests were there, and keeps requests that crash
 * endpoints, or with a part that does, from being sent. A lost connection alone is no crash: the
 * endpoint is asked for its report first.
 */
final class CrashWatch {
  /** Time after which a lost connection is dropped as evidence if no report was decided. */
  private static final long UNDECIDED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Time within which endpoints that fall silent one after the other have a common cause. */
  private static final long COMMON_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** Time for the messages of the other relays about the same crash to arrive. */
  private static final long PEER_MESSAGES_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /**
   * Maximum time for which a likely cause of a crash waits for evidence in its favour, before it is
   * sent again as the only one of its kind.
   */
  static final long MAX_SUSPECT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** Maximum number of requests that had waited longer than a likely cause of a crash. */
  private static final int LIKELY_CAUSE_MAX_RANK = 1;

  private CrashWatch() {}

  /** Handles the loss of an attempt's connection to the endpoint that runs it. */
  static void connectionLost(RelayTurn turn, OpenRequest open) {
    Optional<TrackedEndpoint> endpoint = open.target.flatMap(turn.state.fleet::find);
    if (endpoint.isEmpty()) {
      return;
    }
    PendingCrash pending = pendingCrash(turn, endpoint.get());
    if (!open.firstEventRelayed) {
      lostIn(turn, open, pending);
    }
  }

  private static void lostIn(RelayTurn turn, OpenRequest open, PendingCrash pending) {
    pending.candidates.addAll(candidates(open, pending));
    if (!open.request.sharedParts().isEmpty()
        || turn.state.quarantine.atOtherCrash(open.fingerprint(), pending.id)) {
      open.lostInCrash = Optional.of(pending.id);
      open.lostNanos = turn.nowNanos;
    }
  }

  private static PendingCrash pendingCrash(RelayTurn turn, TrackedEndpoint endpoint) {
    PendingCrash known = turn.state.pendingCrashes.get(endpoint.id());
    if (known != null && !overdue(turn, known)) {
      return known;
    }
    PendingCrash pending = new PendingCrash(crashId(endpoint), turn.nowNanos);
    turn.state.pendingCrashes.put(endpoint.id(), pending);
    EndpointHealthChecks.checkNow(turn, endpoint);
    return pending;
  }

  private static CrashId crashId(TrackedEndpoint endpoint) {
    return new CrashId(endpoint.id(), endpoint.entry().startedMillis());
  }

  private static boolean overdue(RelayTurn turn, PendingCrash pending) {
    return turn.nowNanos - pending.atNanos >= UNDECIDED_NANOS;
  }

  private static List<CrashCandidate> candidates(OpenRequest open, PendingCrash pending) {
    StartOrder order = open.path.isPresent() ? StartOrder.ARRIVAL : StartOrder.UNKNOWN;
    // Connections to one endpoint are lost one after the other; the first loss is the crash.
    long waitedMillis =
        Math.max(0, TimeUnit.NANOSECONDS.toMillis(pending.atNanos - open.sentNanos));
    Optional<RequestFingerprint> request = Optional.of(open.fingerprint());
    List<CrashCandidate> candidates = new ArrayList<>();
    for (CrashSubject subject : open.crashSubjects()) {
      candidates.add(new CrashCandidate(subject, waitedMillis, order, candidates.size(), request));
    }
    return candidates;
  }

  /** Handles the report of an endpoint: it has not crashed, unless it has started again since. */
  static void reportRead(RelayTurn turn, TrackedEndpoint endpoint, long startedMillis) {
    withdrawCrash(turn, endpoint, startedMillis);
    PendingCrash pending = turn.state.pendingCrashes.get(endpoint.id());
    if (pending == null) {
      return;
    }
    if (startedMillis != 0 && startedMillis != pending.id.startedMillis()) {
      confirmed(turn, endpoint);
    } else if (endpoint.checkStartedNanos() - pending.atNanos < 0) {
      // The report may be from before the connection was lost.
      EndpointHealthChecks.checkNow(turn, endpoint);
    } else {
      turn.state.pendingCrashes.remove(endpoint.id());
    }
  }

  /** Withdraws the evidence of a crash if the same process reports again: it was only silent. */
  private static void withdrawCrash(RelayTurn turn, TrackedEndpoint endpoint, long startedMillis) {
    if (startedMillis == 0) {
      return;
    }
    CrashId crash = new CrashId(endpoint.id(), startedMillis);
    long aliveNanos = endpoint.checkStartedNanos();
    apply(turn, turn.state.quarantine.withdraw(crash, aliveNanos));
    for (OpenRequest open : turn.state.open.values()) {
      if (open.lostInCrash.filter(crash::equals).isPresent() && open.lostNanos < aliveNanos) {
        open.lostInCrash = Optional.empty();
      }
    }
  }

  /** Handles an endpoint that gives no report: it has crashed or fell silent. */
  static void confirmed(RelayTurn turn, TrackedEndpoint endpoint) {
    PendingCrash pending = turn.state.pendingCrashes.remove(endpoint.id());
    if (pending == null || overdue(turn, pending)) {
      if (!onlySilentEndpoint(turn)) {
        return;
      }
      pending = new PendingCrash(crashId(endpoint), turn.nowNanos);
    }
    for (OpenRequest open : turn.state.open.values()) {
      if (open.target.filter(endpoint.id()::equals).isPresent() && !open.firstEventRelayed) {
        lostIn(turn, open, pending);
      }
    }
    if (pending.candidates.isEmpty()) {
      return;
    }
    turn.log(
        "endpoint-crashed",
        "endpoint",
        endpoint.id().value(),
        "startedMillis",
        pending.id.startedMillis(),
        "candidates",
        format(pending.candidates),
        "ageMillis",
        turn.millisSince(pending.atNanos));
    apply(
        turn,
        turn.state.quarantine.crashed(
            pending.id, pending.atNanos, pending.candidates, turn.nowNanos));
    PeerExchange.send(turn, Optional.empty());
  }

  /**
   * Records an endpoint that fell silent without closing its connections, and returns whether it is
   * the only one lately. If several do, the network of this relay is the more likely cause.
   */
  private static boolean onlySilentEndpoint(RelayTurn turn) {
    RelayState state = turn.state;
    boolean only =
        !state.endpointFellSilent
            || turn.nowNanos - state.lastSilentEndpointNanos >= COMMON_SILENCE_NANOS;
    state.endpointFellSilent = true;
    state.lastSilentEndpointNanos = turn.nowNanos;
    return only;
  }

  /**
   * Drops lost connections for which no report was decided in time, and asks again for those whose
   * missing report was no evidence, as this process had paused.
   */
  static void tick(RelayTurn turn) {
    turn.state.pendingCrashes.values().removeIf(pending -> overdue(turn, pending));
    if (!EndpointHealthChecks.catchingUp(turn)) {
      for (EndpointId endpoint : turn.state.pendingCrashes.keySet()) {
        turn.state
            .fleet
            .find(endpoint)
            .ifPresent(found -> EndpointHealthChecks.checkNow(turn, found));
      }
    }
  }

  /** Handles the first event of an attempt, or an answer: the endpoint runs the request. */
  static void answerBegun(RelayTurn turn, OpenRequest open) {
    open.lostInCrash = Optional.empty();
    CrashQuarantine quarantine = turn.state.quarantine;
    List<? extends CrashSubject> subjects =
        quarantine.suspectsRequests(turn.nowNanos)
            ? open.crashSubjects()
            : open.request.sharedParts();
    if (!subjects.isEmpty()) {
      apply(turn, quarantine.firstEvent(subjects, turn.nowNanos));
    }
  }

  /**
   * Returns whether a request that was cut by a crash before its first event must not be sent yet,
   * as it may be the cause.
   */
  static boolean mustWait(RelayTurn turn, OpenRequest open) {
    if (open.lostInCrash.isEmpty()) {
      return false;
    }
    long waitedNanos = turn.nowNanos - open.lostNanos;
    if (waitedNanos >= MAX_SUSPECT_WAIT_NANOS) {
      return false;
    }
    CrashId crash = open.lostInCrash.get();
    PendingCrash pending = turn.state.pendingCrashes.get(crash.endpoint());
    boolean undecided = pending != null && pending.id.equals(crash);
    return undecided
        || waitedNanos < PEER_MESSAGES_NANOS
        || turn.state.quarantine.likelyCause(
            crash, open.request.sharedParts(), LIKELY_CAUSE_MAX_RANK);
  }

  /** Returns what a request contains that is held back. */
  static List<CrashSubject> held(RelayTurn turn, OpenRequest open) {
    CrashQuarantine quarantine = turn.state.quarantine;
    return quarantine.held(
        quarantine.heldRequests() > 0 ? open.crashSubjects() : open.request.sharedParts());
  }

  /**
   * Returns the subject for which a request must be refused. One relay may send a single request
   * with a held subject, once a trial is due; that request is marked as the trial.
   */
  static Optional<CrashSubject> refusedSubject(RelayTurn turn, OpenRequest open) {
    if (open.trialOf.isPresent() || !turn.state.quarantine.anyHeld()) {
      return Optional.empty();
    }
    List<CrashSubject> held = held(turn, open);
    if (held.size() == 1 && mayTry(turn, held.get(0))) {
      CrashSubject subject = held.get(0);
      turn.state.quarantine.trialStarted(subject);
      open.trialOf = Optional.of(subject);
      turn.log(
          eventName(subject, "trial"),
          subjectField(subject),
          subject.value(),
          "request",
          open.logId());
      return Optional.empty();
    }
    return held.stream().findFirst();
  }

  private static boolean mayTry(RelayTurn turn, CrashSubject subject) {
    return turn.state.quarantine.trialDue(subject, turn.nowNanos)
        && turn.state.peers.firstOfLive(turn.state.parameters.vm(), turn.nowNanos);
  }

  /** Records that a trial request is no longer at an endpoint. */
  static void trialEnded(RelayTurn turn, OpenRequest open) {
    open.trialOf.ifPresent(
        subject -> turn.state.quarantine.trialEnded(subject, open.possibleRuns > 0, turn.nowNanos));
    open.trialOf = Optional.empty();
  }

  /** Refuses a request with a held subject at once; a trial has to show first that it is sound. */
  static void refuse(RelayTurn turn, OpenRequest open, CrashSubject subject) {
    AttemptOutcomes.refuse(
        turn,
        open,
        eventName(subject, "held"),
        turn.state.quarantine.millisUntilTrial(subject, turn.nowNanos));
  }

  /** Logs changes of the held subjects and takes requests with a newly held one off endpoints. */
  static void apply(RelayTurn turn, List<QuarantineChange> changes) {
    for (QuarantineChange change : changes) {
      CrashSubject subject = change.subject();
      if (change instanceof QuarantineChange.Held held) {
        logHeld(turn, held);
        takeOffEndpoints(turn, subject);
      } else if (change instanceof QuarantineChange.HeldLonger longer) {
        turn.log(
            eventName(subject, "held-longer"),
            subjectField(subject),
            subject.value(),
            "crashes",
            longer.crashes(),
            "trialMillis",
            turn.state.quarantine.millisUntilTrial(subject, turn.nowNanos));
      } else if (change instanceof QuarantineChange.Released released) {
        turn.log(
            eventName(subject, "released"),
            subjectField(subject),
            subject.value(),
            "crashes",
            released.crashes());
      }
    }
  }

  private static String eventName(CrashSubject subject, String change) {
    return (subject instanceof RequestFingerprint ? "crashing-request-" : "prompt-part-") + change;
  }

  private static String subjectField(CrashSubject subject) {
    return subject instanceof RequestFingerprint ? "fingerprint" : "part";
  }

  private static void logHeld(RelayTurn turn, QuarantineChange.Held held) {
    CrashSubject subject = held.subject();
    turn.log(
        eventName(subject, "held"),
        subjectField(subject),
        subject.value(),
        "crashes",
        held.crashes(),
        "score",
        held.score(),
        "otherCandidates",
        held.otherCandidates(),
        "source",
        held.source().name(),
        "trialMillis",
        turn.state.quarantine.millisUntilTrial(subject, turn.nowNanos));
  }

  private static void takeOffEndpoints(RelayTurn turn, CrashSubject subject) {
    for (OpenRequest open : new ArrayList<>(turn.state.open.values())) {
      boolean begun = open.firstEventRelayed || open.lastEventId > open.request.resumeAfter();
      if (!begun && open.trialOf.isEmpty() && open.crashSubjects().contains(subject)) {
        if (open.target.isPresent()) {
          AttemptOutcomes.endAttempt(turn, open, eventName(subject, "held"));
        }
        refuse(turn, open, subject);
      }
    }
  }

  private static String format(List<CrashCandidate> candidates) {
    StringJoiner text = new StringJoiner(",");
    candidates.forEach(
        candidate -> text.add(candidate.subject().value() + ":" + candidate.waitedMillis()));
    return text.toString();
  }
}
