package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;
import java.util.LinkedHashMap;
import java.util.Map;

/** First events of the parts that were used most recently. */
final class PartHistory {
  /** Bounds the memory; a router sees a few new parts a second, so this covers minutes. */
  private static final int MAX_PARTS = 4_096;

  private final Map<PromptPartId, Entry> entriesByPart =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPartId, Entry> eldest) {
          return size() > MAX_PARTS;
        }
      };

  private static final class Entry {
    long lastFirstEventNanos;
    long firstEvents;
  }

  /** Records the first event of a request with the part. */
  void firstEvent(PromptPartId part, long atNanos) {
    soundAt(part, atNanos).firstEvents++;
  }

  /** Records that another router saw a first event; it does not count as one of this router. */
  void peerFirstEvent(PromptPartId part, long atNanos) {
    soundAt(part, atNanos);
  }

  private Entry soundAt(PromptPartId part, long atNanos) {
    Entry entry = entriesByPart.get(part);
    if (entry == null) {
      entry = new Entry();
      entry.lastFirstEventNanos = atNanos;
      entriesByPart.put(part, entry);
    }
    if (atNanos - entry.lastFirstEventNanos > 0) {
      entry.lastFirstEventNanos = atNanos;
    }
    return entry;
  }

  /** Returns the number of first events that this router has seen. */
  long firstEvents(PromptPartId part) {
    Entry entry = entriesByPart.get(part);
    return entry == null ? 0 : entry.firstEvents;
  }

  /** Returns whether a request with the part received its first event after a time. */
  boolean soundSince(PromptPartId part, long nanos) {
    Entry entry = entriesByPart.get(part);
    return entry != null && entry.lastFirstEventNanos - nanos > 0;
  }

  /** Returns the time of the last first event of a part that has one. */
  long lastFirstEventNanos(PromptPartId part) {
    return entriesByPart.get(part).lastFirstEventNanos;
  }
}
