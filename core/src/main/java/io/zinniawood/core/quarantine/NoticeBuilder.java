package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Builds notices that fit into one packet: held parts first, then the newest crashes. */
final class NoticeBuilder {
  /** Maximum size of the parts' ids with their figures; a packet has about 1,400 bytes. */
  private static final int MAX_CHARACTERS = 900;

  /** Space of the figures of an entry, in addition to the id. */
  private static final int ENTRY_CHARACTERS = 16;

  /** Time for which a crash is reported; as messages get lost, each is reported many times. */
  private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time after its last first event for which a released part is reported. */
  private static final long RELEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Candidates of a crash that are reported: those that waited longest. */
  private static final int MAX_REPORTED_CANDIDATES = 6;

  private final PartHistory history;
  private final long nowNanos;
  private int freeCharacters = MAX_CHARACTERS;

  NoticeBuilder(PartHistory history, long nowNanos) {
    this.history = history;
    this.nowNanos = nowNanos;
  }

  QuarantineNotice build(
      Map<PromptPartId, HeldPart> heldByPart,
      Collection<CrashRecord> crashes,
      RecentParts releases) {
    List<HeldPartNotice> held = new ArrayList<>();
    heldByPart.forEach(
        (part, state) -> {
          if (fits(part.value())) {
            held.add(
                new HeldPartNotice(
                    part, state.crashes, state.failedTrials, ageMillis(state.lastCrashNanos)));
          }
        });
    List<SoundPartNotice> sound = new ArrayList<>();
    releases.all().forEach(part -> addSound(part, nowNanos - RELEASE_NANOS, sound));
    List<CrashRecord> recent = new ArrayList<>();
    for (CrashRecord crash : crashes) {
      if (nowNanos - crash.atNanos < REPORT_NANOS) {
        recent.add(crash);
      }
    }
    recent.sort(Comparator.comparingLong((CrashRecord crash) -> crash.atNanos).reversed());
    List<CrashReport> reports = new ArrayList<>();
    for (CrashRecord crash : recent) {
      if (fits(crash.id.endpoint().value())) {
        reports.add(new CrashReport(crash.id, ageMillis(crash.atNanos), candidates(crash)));
        crash.candidates().forEach(candidate -> addSound(candidate.part(), crash.atNanos, sound));
      }
    }
    return new QuarantineNotice(held, reports, sound);
  }

  private List<CrashCandidate> candidates(CrashRecord crash) {
    List<CrashCandidate> reported = new ArrayList<>();
    for (CrashCandidate candidate : crash.candidates()) {
      if (reported.size() < MAX_REPORTED_CANDIDATES
          && crash.mayBeCause(candidate.part(), history)
          && fits(candidate.part().value())) {
        reported.add(candidate);
      }
    }
    return reported;
  }

  /** Adds a part of which a request received its first event after the given time. */
  private void addSound(PromptPartId part, long sinceNanos, List<SoundPartNotice> sound) {
    boolean listed = sound.stream().anyMatch(notice -> notice.part().equals(part));
    if (!listed && history.soundSince(part, sinceNanos) && fits(part.value())) {
      sound.add(new SoundPartNotice(part, ageMillis(history.lastFirstEventNanos(part))));
    }
  }

  private boolean fits(String id) {
    int characters = id.length() + ENTRY_CHARACTERS;
    if (characters > freeCharacters) {
      return false;
    }
    freeCharacters -= characters;
    return true;
  }

  private long ageMillis(long nanos) {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos));
  }
}
