package io.zinniawood.entry.reporting;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.zinniawood.core.message.Message;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.report.slo.Observation;

/**
 * Counts the requests of this entry and keeps each interval until a read of the object store has
 * shown it, so that neither a lost message nor the loss of the merging entry loses counts. Confined
 * to one thread.
 */
final class CountsSender {
  /** Intervals of 10 s in an hour and a bit, the longest usual loss of contact of a region. */
  static final int MAX_KEPT = 400;

  /** Keeps the first round after an outage of the merging entry within the control budget. */
  static final int MAX_MESSAGES = 8;

  private final String source;
  private SortedMap<String, ObjectiveCounts> open = TreeMap.empty();
  private Vector<CountsDelta> kept = Vector.empty();
  private long sequence;
  private long received;
  private long dropped;

  CountsSender(String source) {
    this.source = source;
  }

  void count(String objective, long epochMillis, Observation observation) {
    open =
        open.put(
            objective,
            open.getOrElse(objective, ObjectiveCounts.empty(objective))
                .with(epochMillis, observation));
  }

  /**
   * Ends the interval and returns the messages to send, oldest first. An interval without requests
   * is sent too, as it shows that the entry lives.
   */
  Vector<Message.ObjectiveCounts> endInterval(long nowEpochMillis) {
    sequence++;
    kept = kept.append(new CountsDelta(source, sequence, sequence, open));
    open = TreeMap.empty();
    if (kept.size() > MAX_KEPT) {
      kept = kept.tail();
      dropped++;
    }
    long oldest = kept.head().sequence();
    return kept.filter(delta -> delta.sequence() > received)
        .take(MAX_MESSAGES)
        .map(delta -> new CountsDelta(source, delta.sequence(), oldest, delta.objectives()))
        .flatMap(delta -> delta.toMessage(nowEpochMillis).toOption());
  }

  /** Takes a receipt; a lower one than before comes from an entry that took the merging over. */
  void onReceipt(CountsReceipt receipt) {
    if (receipt.source().equals(source) && receipt.received() <= sequence) {
      received = receipt.received();
      kept = kept.filter(delta -> delta.sequence() > receipt.stored());
    }
  }

  /** Returns the number of intervals that were dropped before the object store had them. */
  long dropped() {
    return dropped;
  }

  /** Returns the number of intervals that the object store is not known to have. */
  int kept() {
    return kept.size();
  }
}
