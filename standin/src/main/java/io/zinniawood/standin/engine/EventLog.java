package io.zinniawood.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Cache events that become visible late and with gaps; keeps the newest ones. */
final class EventLog {
  private static final int MAX_EVENTS = 10_000;
  private final long delayNanos;
  private final int lostEventInterval;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long nextSequence = 1;

  EventLog(EngineSettings.Delays lag) {
    this.delayNanos = lag.eventDelayMillis() * 1_000_000;
    this.lostEventInterval = lag.lostEventInterval();
  }

  /** Kind of a cache event. */
  enum Kind {
    STORED,
    EVICTED
  }

  /**
   * A cache event.
   *
   * @param sequence number; a missing number is a lost event
   * @param kind kind
   * @param block hexadecimal hash of the prompt prefix up to the end of the block
   */
  record CacheEvent(long sequence, Kind kind, String block) {}

  private record Entry(CacheEvent event, long visibleNanos) {}

  synchronized void add(Kind kind, long block, long nowNanos) {
    long sequence = nextSequence++;
    if (lostEventInterval > 0 && sequence % lostEventInterval == 0) {
      return;
    }
    entries.addLast(
        new Entry(new CacheEvent(sequence, kind, Long.toHexString(block)), nowNanos + delayNanos));
    if (entries.size() > MAX_EVENTS) {
      entries.removeFirst();
    }
  }

  synchronized List<CacheEvent> after(long sequence, long nowNanos) {
    return entries.stream()
        .filter(entry -> entry.visibleNanos() - nowNanos <= 0)
        .map(Entry::event)
        .filter(event -> event.sequence() > sequence)
        .toList();
  }
}
