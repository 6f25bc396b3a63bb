package io.zinniawood.entry.reporting;

import io.vavr.control.Option;
import io.vavr.control.Try;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.Payload;

/**
 * Acknowledgement that the merging entry sends for a delta.
 *
 * @param source entry whose counts are acknowledged
 * @param receivedSequence last sequence up to which the merging entry has received all deltas
 * @param storedSequence last sequence that a read of the stored object contained
 */
record CountsReceipt(String source, long receivedSequence, long storedSequence) {
  private static final String PREFIX = "stored ";

  Message.ObjectiveCounts toMessage() {
    return new Message.ObjectiveCounts(
        source, receivedSequence, Payload.ofText(PREFIX + storedSequence));
  }

  /** Decodes a message; none if it is not a receipt. */
  static Option<CountsReceipt> fromMessage(Message.ObjectiveCounts message) {
    if (message.counts().bytes().length > 64) {
      return Option.none();
    }
    return Option.some(message.counts().text())
        .filter(text -> text.startsWith(PREFIX))
        .flatMap(text -> Try.of(() -> Long.parseLong(text.substring(PREFIX.length()))).toOption())
        .map(stored -> new CountsReceipt(message.source(), message.sequence(), stored));
  }
}
