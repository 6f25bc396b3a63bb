package io.zinniawood.standin.platform;

import io.zinniawood.standin.http.Exchange;
import io.zinniawood.standin.http.Reply;
import io.zinniawood.standin.http.TokenBucket;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Applies faults and rate limits to each request and counts requests. */
final class RequestFilter {
  private final Map<PlatformService, PlatformFaults> faults = new EnumMap<>(PlatformService.class);
  private final Map<PlatformService, Counters> counters = new EnumMap<>(PlatformService.class);
  private final TokenBucket reads;
  private final TokenBucket writes;

  RequestFilter(PlatformSettings settings) {
    long nowNanos = System.nanoTime();
    reads = new TokenBucket(settings.readsPerSecond(), settings.readsPerSecond() / 10, nowNanos);
    writes = new TokenBucket(settings.writesPerSecond(), settings.writesPerSecond() / 10, nowNanos);
    for (PlatformService kind : PlatformService.values()) {
      faults.put(kind, PlatformFaults.none());
      counters.put(kind, new Counters(0, 0, 0, 0, 0));
    }
  }

  /** Tells whether a request changes state. */
  enum Access {
    READ,
    WRITE
  }

  /**
   * Counters of one service.
   *
   * @param received requests that arrived
   * @param reads reads that were carried out
   * @param writes writes that were carried out, with conflicts
   * @param refused requests that were refused by a fault or a limit
   * @param lost writes whose response was lost
   */
  record Counters(long received, long reads, long writes, long refused, long lost) {
    Counters plus(long moreReceived, long moreReads, long moreWrites, long moreRefused) {
      return new Counters(
          received + moreReceived,
          reads + moreReads,
          writes + moreWrites,
          refused + moreRefused,
          lost);
    }

    Counters plusLost() {
      return new Counters(received, reads, writes, refused, lost + 1);
    }
  }

  synchronized void set(PlatformService kind, PlatformFaults value) {
    faults.put(kind, value);
  }

  synchronized PlatformFaults faults(PlatformService kind) {
    return faults.get(kind);
  }

  synchronized Counters counters(PlatformService kind) {
    return counters.get(kind);
  }

  synchronized Map<String, PlatformFaults> allFaults() {
    Map<String, PlatformFaults> all = new TreeMap<>();
    faults.forEach((kind, value) -> all.put(kind.lowerCaseName(), value));
    return all;
  }

  synchronized Map<String, Counters> allCounters() {
    Map<String, Counters> all = new TreeMap<>();
    counters.forEach((kind, value) -> all.put(kind.lowerCaseName(), value));
    return all;
  }

  void serve(Exchange exchange, PlatformService kind, Access access, Supplier<Reply> action) {
    PlatformFaults present = faults(kind);
    addCounts(kind, 1, 0, 0, 0);
    if (present.silent()) {
      return;
    }
    exchange.afterMillis(present.latencyMillis(), () -> execute(exchange, kind, access, action));
  }

  private void execute(
      Exchange exchange, PlatformService kind, Access access, Supplier<Reply> action) {
    if (faults(kind).down()) {
      addCounts(kind, 0, 0, 0, 1);
      exchange.respondProblem(503, kind.lowerCaseName() + " is down");
      return;
    }
    if (isRateLimited(kind, access)) {
      addCounts(kind, 0, 0, 0, 1);
      exchange.respondProblem(429, "the rate limit is reached");
      return;
    }
    Reply reply;
    try {
      reply = action.get();
    } catch (IllegalArgumentException e) {
      exchange.respondProblem(400, String.valueOf(e.getMessage()));
      return;
    }
    addCounts(kind, 0, access == Access.READ ? 1 : 0, access == Access.WRITE ? 1 : 0, 0);
    if (access == Access.WRITE && consumeLostResponse(kind)) {
      exchange.closeConnection();
      return;
    }
    exchange.afterMillis(faults(kind).responseLatencyMillis(), () -> reply.send(exchange));
  }

  private boolean isRateLimited(PlatformService kind, Access access) {
    if (kind != PlatformService.TABLE && kind != PlatformService.OBJECTS) {
      return false;
    }
    TokenBucket bucket = access == Access.READ ? reads : writes;
    return bucket.takeOrWaitMillis(System.nanoTime()) > 0;
  }

  private synchronized void addCounts(
      PlatformService kind, long received, long moreReads, long moreWrites, long refused) {
    counters.computeIfPresent(
        kind, (key, old) -> old.plus(received, moreReads, moreWrites, refused));
  }

  private synchronized boolean consumeLostResponse(PlatformService kind) {
    PlatformFaults present = faults.get(kind);
    if (present.loseResponses() == 0) {
      return false;
    }
    if (present.loseResponses() > 0) {
      faults.put(kind, present.withLoseResponses(present.loseResponses() - 1));
    }
    counters.computeIfPresent(kind, (key, old) -> old.plusLost());
    return true;
  }
}
