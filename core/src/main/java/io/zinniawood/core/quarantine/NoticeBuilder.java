package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Builds notices that fit into one packet: held subjects first, then the newest crashes. */
final class NoticeBuilder {
  /** Maximum size of the ids with their figures; a packet has about 1,400 bytes. */
  private static final int MAX_CHARACTERS = 900;

  /** Maximum size of the held subjects, which take turns, so that crashes find room. */
  private static final int MAX_HELD_CHARACTERS = 450;

  /** Space of the figures of an entry, in addition to the id. */
  private static final int ENTRY_CHARACTERS = 16;

  /** Time for which a crash is reported; as messages get lost, each is reported many times. */
  private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time after its last first event for which a released subject is reported. */
  private static final long RELEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Candidates of a crash that are reported: those that waited longest. */
  private static final int MAX_REPORTED_CANDIDATES = 12;

  private final SubjectHistory history;
  private final long nowNanos;
  private int freeCharacters = MAX_HELD_CHARACTERS;

  NoticeBuilder(SubjectHistory history, long nowNanos) {
    this.history = history;
    this.nowNanos = nowNanos;
  }

  QuarantineNotice build(
      Map<CrashSubject, HeldSubject> heldBySubject,
      Collection<CrashRecord> crashes,
      RecentSubjects releases) {
    List<HeldSubjectNotice> held = new ArrayList<>();
    heldBySubject.forEach(
        (subject, state) -> {
          if (fits(subject.value().length())) {
            held.add(
                new HeldSubjectNotice(
                    subject, state.crashes, state.failedTrials, ageMillis(state.lastCrashNanos)));
          }
        });
    freeCharacters += MAX_CHARACTERS - MAX_HELD_CHARACTERS;
    List<SoundSubjectNotice> sound = new ArrayList<>();
    releases.all().forEach(subject -> addSound(subject, nowNanos - RELEASE_NANOS, sound));
    List<CrashRecord> recent = new ArrayList<>();
    for (CrashRecord crash : crashes) {
      if (nowNanos - crash.atNanos < REPORT_NANOS) {
        recent.add(crash);
      }
    }
    recent.sort(Comparator.comparingLong((CrashRecord crash) -> crash.atNanos).reversed());
    List<CrashReport> reports = new ArrayList<>();
    for (CrashRecord crash : recent) {
      if (fits(crash.id.endpoint().value().length())) {
        reports.add(new CrashReport(crash.id, ageMillis(crash.atNanos), candidates(crash)));
        crash
            .candidates()
            .forEach(candidate -> addSound(candidate.subject(), crash.atNanos, sound));
      }
    }
    return new QuarantineNotice(held, reports, sound);
  }

  private List<CrashCandidate> candidates(CrashRecord crash) {
    List<CrashCandidate> reported = new ArrayList<>();
    for (CrashCandidate candidate : crash.candidates()) {
      if (reported.size() < MAX_REPORTED_CANDIDATES
          && crash.mayBeCause(candidate.subject(), history)
          && fits(characters(candidate))) {
        reported.add(candidate);
      }
    }
    return reported;
  }

  private static int characters(CrashCandidate candidate) {
    return candidate.subject().value().length()
        + candidate.request().map(request -> request.value().length()).orElse(0);
  }

  /** Adds a subject of which a request received its first event after the given time. */
  private void addSound(CrashSubject subject, long sinceNanos, List<SoundSubjectNotice> sound) {
    boolean listed = sound.stream().anyMatch(notice -> notice.subject().equals(subject));
    if (!listed && history.soundSince(subject, sinceNanos) && fits(subject.value().length())) {
      sound.add(new SoundSubjectNotice(subject, ageMillis(history.lastFirstEventNanos(subject))));
    }
  }

  private boolean fits(int idCharacters) {
    int characters = idCharacters + ENTRY_CHARACTERS;
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
