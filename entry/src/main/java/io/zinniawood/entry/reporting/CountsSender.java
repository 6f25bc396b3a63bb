package io.zinniawood.entry.reporting;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.zinniawood.core.message.Message;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.report.slo.Observation;

/**
 * Counts the requests of this entry by interval and resends each interval until the merging entry
 * has received it. Keeps an interval until a read of the stored object contained it, so that
 * neither a lost message nor the loss of the merging entry loses counts. Confined to one thread.
 */
final class CountsSender {
  /** 66 min of 10 s intervals; a region rarely loses contact for longer than an hour. */
  static final int MAX_KEPT_INTERVALS = 400;

  /** Keeps the messages after an outage of the merging entry within the control traffic budget. */
  static final int MAX_MESSAGES_PER_ROUND = 8;

  private final String source;
  private SortedMap<String, ObjectiveCounts> currentInterval = TreeMap.empty();
  private Vector<CountsDelta> keptIntervals = Vector.empty();
  private long lastSequence;
  private long receivedSequence;
  private long droppedIntervals;

  CountsSender(String source) {
    this.source = source;
  }

  void count(String objective, long epochMillis, Observation observation) {
    currentInterval =
        currentInterval.put(
            objective,
            currentInterval
                .getOrElse(objective, ObjectiveCounts.empty(objective))
                .with(epochMillis, observation));
  }

  /**
   * Ends the current interval and returns the messages to send, oldest first. An interval without
   * requests is sent too, to show that the entry is alive.
   */
  Vector<Message.ObjectiveCounts> endInterval(long nowEpochMillis) {
    lastSequence++;
    keptIntervals =
        keptIntervals.append(new CountsDelta(source, lastSequence, lastSequence, currentInterval));
    currentInterval = TreeMap.empty();
    if (keptIntervals.size() > MAX_KEPT_INTERVALS) {
      keptIntervals = keptIntervals.tail();
      droppedIntervals++;
    }
    long oldest = keptIntervals.head().sequence();
    return keptIntervals
        .filter(delta -> delta.sequence() > receivedSequence)
        .take(MAX_MESSAGES_PER_ROUND)
        .map(delta -> new CountsDelta(source, delta.sequence(), oldest, delta.objectives()))
        .flatMap(delta -> delta.toMessage(nowEpochMillis).toOption());
  }

  /**
   * Handles a receipt. Its received sequence may be lower than before, if another entry took over
   * the merging; the intervals after it are then sent again.
   */
  void onReceipt(CountsReceipt receipt) {
    if (receipt.source().equals(source) && receipt.receivedSequence() <= lastSequence) {
      receivedSequence = receipt.receivedSequence();
      keptIntervals = keptIntervals.filter(delta -> delta.sequence() > receipt.storedSequence());
    }
  }

  /** Returns the number of intervals that were dropped before they were known to be stored. */
  long droppedIntervals() {
    return droppedIntervals;
  }

  /** Returns the number of intervals that are not known to be stored. */
  int keptIntervals() {
    return keptIntervals.size();
  }
}
