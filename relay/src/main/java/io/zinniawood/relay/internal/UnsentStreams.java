package io.zinniawood.relay.internal;

import io.zinniawood.ingress.MemoryAccount;
import java.util.Collection;
import java.util.Comparator;

/** Bytes of event streams that callers have not taken yet. */
final class UnsentStreams {
  private final MemoryAccount memory;

  UnsentStreams(MemoryAccount memory) {
    this.memory = memory;
  }

  /**
   * Disconnects the callers that have taken least of their streams, until the rest fits.
   *
   * @param streams connections of all callers that receive a stream
   */
  void limit(Collection<CallerHandler> streams) {
    while (!memory.hold(streams.stream().mapToLong(CallerHandler::unsentBytes).sum())) {
      streams.stream()
          .max(Comparator.comparingLong(CallerHandler::unsentBytes))
          .ifPresent(CallerHandler::disconnect);
    }
  }
}
