package io.zinniawood.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Prefix cache of bounded size that evicts the least recently used blocks first. */
final class PrefixCache {
  private final int maxBlocks;
  private final EventLog events;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private long hitBlocks;
  private long missedBlocks;

  PrefixCache(int maxTokens, EventLog events) {
    this.maxBlocks = maxTokens / PromptBlocks.BLOCK_TOKENS;
    this.events = events;
  }

  /** Stores the blocks of a prompt and returns how many of its leading blocks were cached. */
  synchronized int storeAndCountHits(long[] promptBlocks, long nowNanos) {
    int hits = 0;
    while (hits < promptBlocks.length && blocks.get(promptBlocks[hits]) != null) {
      hits++;
    }
    for (int i = hits; i < promptBlocks.length && maxBlocks > 0; i++) {
      if (blocks.put(promptBlocks[i], true) == null) {
        events.add(EventLog.Kind.STORED, promptBlocks[i], nowNanos);
      }
    }
    evict(nowNanos);
    hitBlocks += hits;
    missedBlocks += promptBlocks.length - hits;
    return hits;
  }

  synchronized void clear(long nowNanos) {
    blocks.keySet().forEach(block -> events.add(EventLog.Kind.EVICTED, block, nowNanos));
    blocks.clear();
  }

  synchronized long hitBlocks() {
    return hitBlocks;
  }

  synchronized long missedBlocks() {
    return missedBlocks;
  }

  private void evict(long nowNanos) {
    Iterator<Map.Entry<Long, Boolean>> leastRecentlyUsed = blocks.entrySet().iterator();
    while (blocks.size() > maxBlocks) {
      events.add(EventLog.Kind.EVICTED, leastRecentlyUsed.next().getKey(), nowNanos);
      leastRecentlyUsed.remove();
    }
  }
}
