package io.zinniawood.entry.internal.http;

import io.zinniawood.core.id.RequestId;

/** Setups of connections with a small share of memory. */
final class TestConnections {
  private static final long MEMORY_BYTES = 16_000_000;

  private TestConnections() {}

  /** Returns the setup of a listener with one event loop. */
  static CallerConnections setup(int maxBodyBytes) {
    return new CallerConnections(
        new CallerConnections.Limits(maxBodyBytes, MEMORY_BYTES, MEMORY_BYTES, 1_000, 1),
        problem -> ProblemDocument.closingResponse(problem, new RequestId("refused")),
        (usedBytes, limitBytes) -> {});
  }
}
