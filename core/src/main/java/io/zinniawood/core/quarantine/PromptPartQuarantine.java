package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Parts of prompts that crash endpoints, as far as this router knows. It answers the load of a
 * fleet in which requests with one part crash each endpoint that begins to answer them, while other
 * endpoints crash by chance. Not thread-safe; confined to the reducer.
 *
 * <p>A part is held back once {@link CrashEvidence} of several crashes speaks against it, and
 * released by the first event of any request with it. Times are monotonic, in nanoseconds.
 */
public final class PromptPartQuarantine {
  /** Time for which a crash is evidence; rare requests must still be found. */
  private static final long EVIDENCE_NANOS = TimeUnit.MINUTES.toNanos(5);

  private static final int MAX_CRASHES = 32;
  private static final int MAX_HELD_PARTS = 16;

  private final PartHistory history = new PartHistory();
  private final CrashEvidence evidence = new CrashEvidence(history);
  private final Map<CrashId, CrashRecord> crashesById = new LinkedHashMap<>();

  /** Crashes that were withdrawn, which other routers may still report, with the time of proof. */
  private final Map<CrashId, Long> withdrawnById = new LinkedHashMap<>();

  private final Map<PromptPartId, HeldPart> heldByPart = new LinkedHashMap<>();

  /** Parts that were released last; other routers may still hold them back. */
  private final RecentParts releases = new RecentParts(MAX_HELD_PARTS);

  /** Returns the first of the parts that is held back. */
  public Optional<PromptPartId> heldPart(List<PromptPartId> parts) {
    if (heldByPart.isEmpty()) {
      return Optional.empty();
    }
    return parts.stream().filter(heldByPart::containsKey).findFirst();
  }

  /** Returns the number of parts that are held back. */
  public int heldParts() {
    return heldByPart.size();
  }

  /** Returns whether a single request with a held part may be sent to try it again. */
  public boolean trialDue(PromptPartId part, long nowNanos) {
    HeldPart held = heldByPart.get(part);
    return held != null && held.trialDue(nowNanos);
  }

  /** Records that a trial request with a held part was sent. */
  public void trialStarted(PromptPartId part) {
    heldByPart.get(part).trialRunning = true;
  }

  /** Records that the trial request ended, whatever its outcome. */
  public void trialEnded(PromptPartId part, long nowNanos) {
    HeldPart held = heldByPart.get(part);
    if (held != null) {
      held.trialEnded(nowNanos);
    }
  }

  /** Returns the time until a held part may be tried again, in milliseconds; at least 0. */
  public long millisUntilTrial(PromptPartId part, long nowNanos) {
    HeldPart held = heldByPart.get(part);
    return held == null
        ? 0
        : Math.max(0, TimeUnit.NANOSECONDS.toMillis(held.trialNanos() - nowNanos));
  }

  /**
   * Returns whether one of the parts is a likely cause of a crash: no request with it received an
   * event since, and at most {@code maxRank} other requests had waited longer.
   */
  public boolean likelyCause(CrashId crash, List<PromptPartId> parts, int maxRank) {
    CrashRecord record = crashesById.get(crash);
    if (record == null) {
      return false;
    }
    for (PromptPartId part : parts) {
      if (record.cause.filter(part::equals).isPresent()
          || (record.cause.isEmpty()
              && record.mayBeCause(part, history)
              && record.rank(part, history) <= maxRank)) {
        return true;
      }
    }
    return false;
  }

  /** Records the first event of a request, which shows that none of its parts crashes endpoints. */
  public List<QuarantineChange> firstEvent(List<PromptPartId> parts, long nowNanos) {
    for (PromptPartId part : parts) {
      history.firstEvent(part, nowNanos);
    }
    return parts.stream().anyMatch(this::suspected) ? evaluate(nowNanos) : List.of();
  }

  private boolean suspected(PromptPartId part) {
    return heldByPart.containsKey(part)
        || crashesById.values().stream().anyMatch(crash -> crash.find(part).isPresent());
  }

  /** Records a crash and the parts that may have caused it. */
  public List<QuarantineChange> crashed(
      CrashId crash, long atNanos, List<CrashCandidate> candidates, long nowNanos) {
    addCrash(crash, atNanos, candidates);
    return evaluate(nowNanos);
  }

  /**
   * Withdraws a crash, as the endpoint gave a report and has not started again. The parts that only
   * this crash spoke against are released.
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

  private List<QuarantineChange> releaseIfUnexplained(PromptPartId part) {
    HeldPart held = heldByPart.get(part);
    if (held == null || --held.crashes >= CrashEvidence.MIN_CRASHES) {
      return List.of();
    }
    heldByPart.remove(part);
    for (CrashRecord crash : crashesById.values()) {
      crash.cause = crash.cause.filter(cause -> !cause.equals(part));
    }
    return List.of(new QuarantineChange.Released(part, held.crashes));
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
    for (SoundPartNotice sound : notice.sound()) {
      history.peerFirstEvent(
          sound.part(), nowNanos - TimeUnit.MILLISECONDS.toNanos(sound.ageMillis()));
    }
    for (CrashReport report : notice.crashes()) {
      addCrash(
          report.crash(),
          nowNanos - TimeUnit.MILLISECONDS.toNanos(report.ageMillis()),
          report.candidates());
    }
    List<QuarantineChange> changes = new ArrayList<>(evaluate(nowNanos));
    for (HeldPartNotice held : notice.held()) {
      long crashNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(held.lastCrashAgeMillis());
      if (!history.soundSince(held.part(), crashNanos)) {
        holdAsPeer(held, crashNanos, changes);
      }
    }
    return changes;
  }

  private void holdAsPeer(HeldPartNotice notice, long crashNanos, List<QuarantineChange> changes) {
    PromptPartId part = notice.part();
    HeldPart known = heldByPart.get(part);
    if (known != null) {
      known.merge(notice, crashNanos);
      return;
    }
    HeldPart held = new HeldPart(notice.crashes(), crashNanos);
    if (!hold(part, held)) {
      return;
    }
    held.merge(notice, crashNanos);
    // The other router has counted these crashes.
    for (CrashRecord crash : unexplained()) {
      if (crash.mayBeCause(part, history)) {
        crash.cause = Optional.of(part);
      }
    }
    changes.add(
        new QuarantineChange.Held(part, notice.crashes(), 0, 0, QuarantineChange.Source.PEER));
  }

  private boolean hold(PromptPartId part, HeldPart held) {
    if (heldByPart.size() >= MAX_HELD_PARTS) {
      return false;
    }
    heldByPart.put(part, held);
    return true;
  }

  private List<QuarantineChange> evaluate(long nowNanos) {
    List<QuarantineChange> changes = new ArrayList<>();
    crashesById.values().removeIf(crash -> nowNanos - crash.atNanos > EVIDENCE_NANOS);
    release(changes);
    attributeToHeldParts(changes);
    Optional<CrashEvidence.Suspect> worst = evidence.worst(unexplained());
    while (worst.isPresent() && holdSuspect(worst.get(), changes)) {
      worst = evidence.worst(unexplained());
    }
    return changes;
  }

  private void release(List<QuarantineChange> changes) {
    List<PromptPartId> sound = new ArrayList<>();
    heldByPart.forEach(
        (part, held) -> {
          if (history.soundSince(part, held.lastCrashNanos)) {
            sound.add(part);
          }
        });
    for (PromptPartId part : sound) {
      changes.add(new QuarantineChange.Released(part, heldByPart.remove(part).crashes));
      releases.add(part);
      for (CrashRecord crash : crashesById.values()) {
        crash.cause = crash.cause.filter(cause -> !cause.equals(part));
      }
    }
  }

  private void attributeToHeldParts(List<QuarantineChange> changes) {
    for (CrashRecord crash : crashesById.values()) {
      if (crash.cause.isEmpty()) {
        heldByPart.forEach((part, held) -> attribute(crash, part, held, changes));
      }
    }
  }

  private void attribute(
      CrashRecord crash, PromptPartId part, HeldPart held, List<QuarantineChange> changes) {
    if (crash.cause.isEmpty() && crash.mayBeCause(part, history)) {
      crash.cause = Optional.of(part);
      held.crashed(crash.atNanos);
      changes.add(new QuarantineChange.HeldLonger(part, held.crashes));
    }
  }

  private List<CrashRecord> unexplained() {
    return crashesById.values().stream().filter(crash -> crash.cause.isEmpty()).toList();
  }

  private boolean holdSuspect(CrashEvidence.Suspect suspect, List<QuarantineChange> changes) {
    List<CrashRecord> crashes = suspect.crashes();
    HeldPart held = new HeldPart(crashes.size(), crashes.get(crashes.size() - 1).atNanos);
    if (!hold(suspect.part(), held)) {
      return false;
    }
    long others =
        crashes.stream()
            .flatMap(crash -> crash.candidates().stream())
            .map(CrashCandidate::part)
            .filter(part -> !part.equals(suspect.part()))
            .distinct()
            .count();
    crashes.forEach(crash -> crash.cause = Optional.of(suspect.part()));
    changes.add(
        new QuarantineChange.Held(
            suspect.part(),
            crashes.size(),
            suspect.score(),
            (int) others,
            QuarantineChange.Source.EVIDENCE));
    return true;
  }

  /** Returns what the other routers should know. */
  public QuarantineNotice notice(long nowNanos) {
    return new NoticeBuilder(history, nowNanos).build(heldByPart, crashesById.values(), releases);
  }
}
