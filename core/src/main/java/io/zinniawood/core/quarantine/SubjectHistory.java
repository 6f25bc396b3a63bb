package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import java.util.LinkedHashMap;
import java.util.Map;

/** First events of the subjects that were used most recently. */
final class SubjectHistory {
  /** Bounds the memory; a router sees a few new parts a second, so this covers minutes. */
  private static final int MAX_SUBJECTS = 4_096;

  private final Map<CrashSubject, Entry> entriesBySubject =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CrashSubject, Entry> eldest) {
          return size() > MAX_SUBJECTS;
        }
      };

  private static final class Entry {
    long lastFirstEventNanos;
    long firstEvents;
  }

  /** Records the first event of a request with the subject. */
  void firstEvent(CrashSubject subject, long atNanos) {
    soundAt(subject, atNanos).firstEvents++;
  }

  /** Records that another router saw a first event; it does not count as one of this router. */
  void peerFirstEvent(CrashSubject subject, long atNanos) {
    soundAt(subject, atNanos);
  }

  private Entry soundAt(CrashSubject subject, long atNanos) {
    Entry entry = entriesBySubject.get(subject);
    if (entry == null) {
      entry = new Entry();
      entry.lastFirstEventNanos = atNanos;
      entriesBySubject.put(subject, entry);
    }
    if (atNanos - entry.lastFirstEventNanos > 0) {
      entry.lastFirstEventNanos = atNanos;
    }
    return entry;
  }

  /** Returns the number of first events that this router has seen. */
  long firstEvents(CrashSubject subject) {
    Entry entry = entriesBySubject.get(subject);
    return entry == null ? 0 : entry.firstEvents;
  }

  /** Returns whether a request with the subject received its first event after a time. */
  boolean soundSince(CrashSubject subject, long nanos) {
    Entry entry = entriesBySubject.get(subject);
    return entry != null && entry.lastFirstEventNanos - nanos > 0;
  }

  /** Returns the time of the last first event of a subject that has one. */
  long lastFirstEventNanos(CrashSubject subject) {
    return entriesBySubject.get(subject).lastFirstEventNanos;
  }
}
