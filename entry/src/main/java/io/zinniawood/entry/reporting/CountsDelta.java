package io.zinniawood.entry.reporting;

import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;
import io.zinniawood.report.slo.CountsCodec;
import io.zinniawood.report.slo.CountsError;
import io.zinniawood.report.slo.CountsSnapshot;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.report.slo.RequestCounts;
import java.util.concurrent.TimeUnit;

/**
 * Service-level counts of one entry in one interval.
 *
 * @param source VM and incarnation of the entry, as {@code vm/incarnation}
 * @param sequence number of the interval; starts at 1 and has no gaps
 * @param oldestKeptSequence lowest sequence that the entry still keeps and can send
 * @param objectives counts by name of the objective
 */
record CountsDelta(
    String source,
    long sequence,
    long oldestKeptSequence,
    SortedMap<String, ObjectiveCounts> objectives) {

  /**
   * Encodes the delta. The message carries minutes only, as the receiver computes the hours from
   * them. The sequence inside the counts is {@link #oldestKeptSequence}.
   */
  Either<CountsError, Message.ObjectiveCounts> toMessage(long nowEpochMillis) {
    SortedMap<String, ObjectiveCounts> minutes =
        objectives.mapValues(
            counts -> new ObjectiveCounts(counts.objective(), counts.minutes(), TreeMap.empty()));
    return CountsCodec.encode(
            new CountsSnapshot(source, oldestKeptSequence, nowEpochMillis, minutes))
        .map(bytes -> new Message.ObjectiveCounts(source, sequence, Payload.wrap(bytes)));
  }

  /** Decodes a message; returns an error if it is malformed, and never throws. */
  static Either<CountsError, CountsDelta> fromMessage(Message.ObjectiveCounts message) {
    return CountsCodec.decode(message.counts().bytes())
        .flatMap(
            snapshot ->
                snapshot.source().equals(message.source())
                        && message.sequence() > 0
                        && snapshot.sequence() <= message.sequence()
                    ? Either.right(
                        new CountsDelta(
                            message.source(),
                            message.sequence(),
                            snapshot.sequence(),
                            snapshot.objectives().mapValues(CountsDelta::withHours)))
                    : Either.left(
                        new CountsError.Malformed(
                            "source or sequence in the counts does not match the message")));
  }

  private static ObjectiveCounts withHours(ObjectiveCounts counts) {
    TreeMap<Long, RequestCounts> hours = TreeMap.empty();
    for (var minute : counts.minutes()) {
      long hour = TimeUnit.MINUTES.toHours(minute._1());
      hours = hours.put(hour, hours.getOrElse(hour, RequestCounts.NONE).plus(minute._2()));
    }
    return new ObjectiveCounts(counts.objective(), counts.minutes(), hours);
  }
}
