package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Requests and parts of prompts that crash endpoints, as far as this router knows. It answers the
 * load of a fleet in which some requests crash each endpoint that begins to run them, while other
 * endpoints crash by chance. Not thread-safe; confined to the reducer.
 *
 * <p>A subject is held back once {@link CrashEvidence} of several crashes speaks against it, and
 * released by the first event of any request with it. Times are monotonic, in nanoseconds.
 */
public final class CrashQuarantine {
  /** Time for which a crash is evidence; rare requests must still be found. */
  private static final long EVIDENCE_NANOS = TimeUnit.MINUTES.toNanos(5);

  private static final int MAX_CRASHES = 32;
  private static final int MAX_HELD_SUBJECTS = 64;

  private final SubjectHistory history = new SubjectHistory();
  private final CrashEvidence evidence = new CrashEvidence(history);
  private final Map<CrashId, CrashRecord> crashesById = new LinkedHashMap<>();

  /** Crashes that were withdrawn, which other routers may still report, with the time of proof. */
  private final Map<CrashId, Long> withdrawnById = new LinkedHashMap<>();

  /** Held subjects; those that were told to other routers longest ago come first. */
  private final Map<CrashSubject, HeldSubject> heldBySubject = new LinkedHashMap<>();

  /** Subjects that were released last; other routers may still hold them back. */
  private final RecentSubjects releases = new RecentSubjects(MAX_HELD_SUBJECTS);

  /** Returns those of the subjects that are held back, in their order. */
  public List<CrashSubject> held(List<? extends CrashSubject> subjects) {
    if (heldBySubject.isEmpty()) {
      return List.of();
    }
    return subjects.stream()
        .filter(heldBySubject::containsKey)
        .<CrashSubject>map(subject -> subject)
        .toList();
  }

  /** Returns whether anything is held back. */
  public boolean anyHeld() {
    return !heldBySubject.isEmpty();
  }

  /** Returns the number of parts of prompts that are held back. */
  public int heldParts() {
    return heldBySubject.size() - heldRequests();
  }

  /** Returns the number of requests that are held back. */
  public int heldRequests() {
    return (int) heldBySubject.keySet().stream().filter(CrashQuarantine::isRequest).count();
  }

  private static boolean isRequest(CrashSubject subject) {
    return subject instanceof RequestFingerprint;
  }

  /** Returns whether the first events of requests are evidence for one of them. */
  public boolean suspectsRequests(long nowNanos) {
    return heldRequests() > 0
        || crashesById.values().stream()
            .filter(crash -> nowNanos - crash.atNanos <= EVIDENCE_NANOS)
            .flatMap(crash -> crash.candidates().stream())
            .anyMatch(candidate -> isRequest(candidate.subject()));
  }

  /** Returns whether a single request with a held subject may be sent to try it again. */
  public boolean trialDue(CrashSubject subject, long nowNanos) {
    HeldSubject held = heldBySubject.get(subject);
    return held != null && held.trialDue(nowNanos);
  }

  /** Records that a trial request with a held subject was sent. */
  public void trialStarted(CrashSubject subject) {
    heldBySubject.get(subject).trialRunning = true;
  }

  /**
   * Records that the trial request ended, whatever its outcome.
   *
   * @param mayHaveRun whether an endpoint may have begun to run the request
   */
  public void trialEnded(CrashSubject subject, boolean mayHaveRun, long nowNanos) {
    HeldSubject held = heldBySubject.get(subject);
    if (held != null) {
      held.trialEnded(nowNanos, mayHaveRun);
    }
  }

  /** Returns the time until a held subject may be tried again, in milliseconds; at least 0. */
  public long millisUntilTrial(CrashSubject subject, long nowNanos) {
    HeldSubject held = heldBySubject.get(subject);
    return held == null
        ? 0
        : Math.max(0, TimeUnit.NANOSECONDS.toMillis(held.trialNanos() - nowNanos));
  }

  /**
   * Returns whether one of the subjects is a likely cause of a crash: no request with it received
   * an event since, and at most {@code maxRank} other requests had waited longer.
   */
  public boolean likelyCause(CrashId crash, List<? extends CrashSubject> subjects, int maxRank) {
    CrashRecord record = crashesById.get(crash);
    if (record == null) {
      return false;
    }
    for (CrashSubject subject : subjects) {
      if (record.cause.filter(subject::equals).isPresent()
          || (record.cause.isEmpty()
              && record.mayBeCause(subject, history)
              && record.rank(subject, history) <= maxRank)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a subject may be the cause of another crash than the given one. */
  public boolean atOtherCrash(CrashSubject subject, CrashId crash) {
    return crashesById.values().stream()
        .anyMatch(record -> !record.id.equals(crash) && record.mayBeCause(subject, history));
  }

  /**
   * Records the first event of a request, which shows that none of its subjects crashes endpoints.
   */
  public List<QuarantineChange> firstEvent(List<? extends CrashSubject> subjects, long nowNanos) {
    boolean anySuspected = false;
    for (CrashSubject subject : subjects) {
      boolean suspected = suspected(subject);
      anySuspected |= suspected;
      // Requests are remembered only if they were at a crash; nearly all of them come once.
      if (suspected || !isRequest(subject)) {
        history.firstEvent(subject, nowNanos);
      }
    }
    return anySuspected ? evaluate(nowNanos) : List.of();
  }

  private boolean suspected(CrashSubject subject) {
    return heldBySubject.containsKey(subject)
        || crashesById.values().stream().anyMatch(crash -> crash.find(subject).isPresent());
  }

  /** Records a crash and its possible causes. */
  public List<QuarantineChange> crashed(
      CrashId crash, long atNanos, List<CrashCandidate> candidates, long nowNanos) {
    addCrash(crash, atNanos, candidates);
    return evaluate(nowNanos);
  }

  /**
   * Withdraws a crash, as the endpoint gave a report and has not started again. The subjects that
   * only this crash spoke against are released.
   *
   * @param aliveNanos time from which on the report shows that the endpoint is alive
   */
  public List<QuarantineChange> withdraw(CrashId crash, long aliveNanos) {
    CrashRecord record = crashesById.get(crash);
    if (record == null || record.atNanos - aliveNanos > 0) {
      return List.of();
    }
    crashesById.remove(crash);
    withdrawnById.put(crash, aliveNanos);
    if (withdrawnById.size() > MAX_CRASHES) {
      withdrawnById.remove(withdrawnById.keySet().iterator().next());
    }
    return record.cause.map(this::releaseIfUnexplained).orElse(List.of());
  }

  private List<QuarantineChange> releaseIfUnexplained(CrashSubject subject) {
    HeldSubject held = heldBySubject.get(subject);
    if (held == null || --held.crashes >= CrashEvidence.MIN_CRASHES) {
      return List.of();
    }
    heldBySubject.remove(subject);
    detachCrashes(subject);
    return List.of(new QuarantineChange.Released(subject, held.crashes));
  }

  private void detachCrashes(CrashSubject subject) {
    for (CrashRecord crash : crashesById.values()) {
      crash.cause = crash.cause.filter(cause -> !cause.equals(subject));
    }
  }

  private void addCrash(CrashId crash, long atNanos, List<CrashCandidate> candidates) {
    Long aliveNanos = withdrawnById.get(crash);
    if (aliveNanos != null && atNanos - aliveNanos <= 0) {
      return;
    }
    if (candidates.isEmpty() && !crashesById.containsKey(crash)) {
      return;
    }
    crashesById.computeIfAbsent(crash, id -> new CrashRecord(id, atNanos)).add(candidates, atNanos);
    if (crashesById.size() > MAX_CRASHES) {
      crashesById.values().stream()
          .min(Comparator.comparingLong(record -> record.atNanos))
          .ifPresent(oldest -> crashesById.remove(oldest.id));
    }
  }

  /** Takes over what another router knows. */
  public List<QuarantineChange> noticeReceived(QuarantineNotice notice, long nowNanos) {
    if (notice.isEmpty()) {
      return List.of();
    }
    for (SoundSubjectNotice sound : notice.sound()) {
      history.peerFirstEvent(
          sound.subject(), nowNanos - TimeUnit.MILLISECONDS.toNanos(sound.ageMillis()));
    }
    for (CrashReport report : notice.crashes()) {
      addCrash(
          report.crash(),
          nowNanos - TimeUnit.MILLISECONDS.toNanos(report.ageMillis()),
          report.candidates());
    }
    List<QuarantineChange> changes = new ArrayList<>(evaluate(nowNanos));
    for (HeldSubjectNotice held : notice.held()) {
      long crashNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(held.lastCrashAgeMillis());
      if (!history.soundSince(held.subject(), crashNanos)) {
        holdAsPeer(held, crashNanos, nowNanos, changes);
      }
    }
    return changes;
  }

  private void holdAsPeer(
      HeldSubjectNotice notice, long crashNanos, long nowNanos, List<QuarantineChange> changes) {
    CrashSubject subject = notice.subject();
    HeldSubject known = heldBySubject.get(subject);
    if (known != null) {
      known.merge(notice, crashNanos);
      return;
    }
    HeldSubject held = new HeldSubject(subject, notice.crashes(), crashNanos);
    held.merge(notice, crashNanos);
    if (held.forgotten(nowNanos)) {
      return;
    }
    hold(subject, held);
    // The other router has counted these crashes.
    for (CrashRecord crash : unexplained()) {
      if (crash.mayBeCause(subject, history)) {
        crash.cause = Optional.of(subject);
      }
    }
    changes.add(
        new QuarantineChange.Held(subject, notice.crashes(), 0, 0, QuarantineChange.Source.PEER));
  }

  /**
   * Holds a subject back, in place of the one whose last crash was longest ago if there are many.
   */
  private void hold(CrashSubject subject, HeldSubject held) {
    if (heldBySubject.size() >= MAX_HELD_SUBJECTS) {
      heldBySubject.entrySet().stream()
          .min(Comparator.comparingLong(entry -> entry.getValue().lastCrashNanos))
          .map(Map.Entry::getKey)
          .ifPresent(heldBySubject::remove);
    }
    heldBySubject.put(subject, held);
  }

  private List<QuarantineChange> evaluate(long nowNanos) {
    List<QuarantineChange> changes = new ArrayList<>();
    crashesById.values().removeIf(crash -> nowNanos - crash.atNanos > EVIDENCE_NANOS);
    release(changes);
    forget(nowNanos, changes);
    attributeToHeld(changes);
    Optional<CrashEvidence.Suspect> worst = evidence.worst(crashesById.values());
    while (worst.isPresent()) {
      holdSuspect(worst.get(), changes);
      worst = evidence.worst(crashesById.values());
    }
    return changes;
  }

  private void release(List<QuarantineChange> changes) {
    List<CrashSubject> sound = new ArrayList<>();
    heldBySubject.forEach(
        (subject, held) -> {
          if (history.soundSince(subject, held.lastCrashNanos)) {
            sound.add(subject);
          }
        });
    for (CrashSubject subject : sound) {
      changes.add(new QuarantineChange.Released(subject, heldBySubject.remove(subject).crashes));
      releases.add(subject);
      detachCrashes(subject);
    }
  }

  private void forget(long nowNanos, List<QuarantineChange> changes) {
    heldBySubject
        .entrySet()
        .removeIf(
            entry -> {
              boolean forgotten = entry.getValue().forgotten(nowNanos);
              if (forgotten) {
                changes.add(
                    new QuarantineChange.Released(entry.getKey(), entry.getValue().crashes));
              }
              return forgotten;
            });
  }

  private void attributeToHeld(List<QuarantineChange> changes) {
    for (CrashRecord crash : crashesById.values()) {
      if (crash.cause.isEmpty()) {
        heldBySubject.forEach((subject, held) -> attribute(crash, subject, held, changes));
      }
    }
  }

  private void attribute(
      CrashRecord crash, CrashSubject subject, HeldSubject held, List<QuarantineChange> changes) {
    if (crash.cause.isEmpty() && crash.mayBeCause(subject, history)) {
      crash.cause = Optional.of(subject);
      held.crashed(crash.atNanos);
      changes.add(new QuarantineChange.HeldLonger(subject, held.crashes));
    }
  }

  private List<CrashRecord> unexplained() {
    return crashesById.values().stream().filter(crash -> crash.cause.isEmpty()).toList();
  }

  private void holdSuspect(CrashEvidence.Suspect suspect, List<QuarantineChange> changes) {
    CrashSubject subject = suspect.subject();
    List<CrashRecord> crashes = suspect.crashes();
    hold(
        subject, new HeldSubject(subject, crashes.size(), crashes.get(crashes.size() - 1).atNanos));
    long others =
        crashes.stream()
            .flatMap(crash -> crash.candidates().stream())
            .map(CrashCandidate::subject)
            .filter(other -> !other.equals(subject))
            .distinct()
            .count();
    crashes.forEach(crash -> crash.cause = Optional.of(subject));
    changes.add(
        new QuarantineChange.Held(
            subject,
            crashes.size(),
            suspect.score(),
            (int) others,
            QuarantineChange.Source.EVIDENCE));
  }

  /** Returns what the other routers should know. */
  public QuarantineNotice notice(long nowNanos) {
    QuarantineNotice notice =
        new NoticeBuilder(history, nowNanos).build(heldBySubject, crashesById.values(), releases);
    if (notice.held().size() < heldBySubject.size()) {
      for (HeldSubjectNotice told : notice.held()) {
        heldBySubject.put(told.subject(), heldBySubject.remove(told.subject()));
      }
    }
    return notice;
  }
}
