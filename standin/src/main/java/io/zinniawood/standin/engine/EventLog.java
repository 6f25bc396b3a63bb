package io.zinniawood.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Log of prefix cache events. Events become visible after a delay and some are dropped, to simulate
 * lag and loss; only the newest events are kept.
 */
final class EventLog {
  private static final int MAX_EVENTS = 10_000;
  private final long delayNanos;
  private final int lostEventInterval;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long nextSequence = 1;

  EventLog(EngineSettings.Delays delays) {
    this.delayNanos = delays.eventDelayMillis() * 1_000_000;
    this.lostEventInterval = delays.lostEventInterval();
  }

  /** Kind of a cache event. */
  enum Kind {
    STORED,
    EVICTED
  }

  /**
   * A prefix cache event.
   *
   * @param sequence sequence number; a missing number means a lost event
   * @param kind whether the block was stored or evicted
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
