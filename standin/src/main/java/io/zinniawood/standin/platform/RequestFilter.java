package io.zinniawood.standin.platform;

import io.zinniawood.standin.http.Exchange;
import io.zinniawood.standin.http.Reply;
import io.zinniawood.standin.http.TokenBucket;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Applies the fault settings and rate limits to each request, and counts requests. */
final class RequestFilter {
  private final Map<PlatformService, PlatformFaults> faults = new EnumMap<>(PlatformService.class);
  private final Map<PlatformService, Counters> counters = new EnumMap<>(PlatformService.class);
  private final TokenBucket reads;
  private final TokenBucket writes;
  private final StoreState store;

  RequestFilter(PlatformSettings settings, StoreState store) {
    this.store = store;
    long nowNanos = System.nanoTime();
    reads = new TokenBucket(settings.readsPerSecond(), settings.readsPerSecond() / 10, nowNanos);
    writes = new TokenBucket(settings.writesPerSecond(), settings.writesPerSecond() / 10, nowNanos);
    for (PlatformService service : PlatformService.values()) {
      faults.put(service, PlatformFaults.none());
      counters.put(service, new Counters(0, 0, 0, 0, 0));
    }
  }

  /** Whether a request reads or changes state. */
  enum Access {
    READ,
    WRITE
  }

  /**
   * Counters of one service.
   *
   * @param received requests that arrived
   * @param reads reads that were executed
   * @param writes writes that were executed, including version conflicts
   * @param refused requests that were refused because of a fault or a rate limit
   * @param lost writes whose response was dropped by a fault
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

  synchronized void set(PlatformService service, PlatformFaults value) {
    faults.put(service, value);
  }

  synchronized PlatformFaults faults(PlatformService service) {
    return faults.get(service);
  }

  synchronized Counters counters(PlatformService service) {
    return counters.get(service);
  }

  synchronized Map<String, PlatformFaults> allFaults() {
    Map<String, PlatformFaults> all = new TreeMap<>();
    faults.forEach((service, value) -> all.put(service.lowerCaseName(), value));
    return all;
  }

  synchronized Map<String, Counters> allCounters() {
    Map<String, Counters> all = new TreeMap<>();
    counters.forEach((service, value) -> all.put(service.lowerCaseName(), value));
    return all;
  }

  void serve(Exchange exchange, PlatformService service, Access access, Supplier<Reply> action) {
    PlatformFaults current = faults(service);
    addCounts(service, 1, 0, 0, 0);
    if (current.silent()) {
      return;
    }
    exchange.afterMillis(current.latencyMillis(), () -> execute(exchange, service, access, action));
  }

  private void execute(
      Exchange exchange, PlatformService service, Access access, Supplier<Reply> action) {
    if (faults(service).down() || (isStore(service) && store.away())) {
      refuse(exchange, service, 503, service.lowerCaseName() + " is down");
      return;
    }
    if (isRateLimited(service, access)) {
      refuse(exchange, service, 429, "the rate limit of the platform is reached");
      return;
    }
    Reply reply;
    try {
      reply = isStore(service) ? store.inPresentEra(action) : action.get();
    } catch (IllegalArgumentException e) {
      exchange.respondProblem(400, String.valueOf(e.getMessage()));
      return;
    }
    addCounts(service, 0, access == Access.READ ? 1 : 0, access == Access.WRITE ? 1 : 0, 0);
    if (access == Access.WRITE && consumeLostResponse(service)) {
      exchange.closeConnection();
      return;
    }
    exchange.afterMillis(faults(service).responseLatencyMillis(), () -> reply.send(exchange));
  }

  private void refuse(Exchange exchange, PlatformService service, int status, String detail) {
    addCounts(service, 0, 0, 0, 1);
    if (isStore(service)) {
      exchange.responseHeader(StoreState.ERA_HEADER, Long.toString(store.era()));
    }
    exchange.respondProblem(status, detail);
  }

  private static boolean isStore(PlatformService service) {
    return service == PlatformService.TABLE || service == PlatformService.OBJECTS;
  }

  private boolean isRateLimited(PlatformService service, Access access) {
    if (!isStore(service)) {
      return false;
    }
    TokenBucket bucket = access == Access.READ ? reads : writes;
    return bucket.takeOrWaitMillis(System.nanoTime()) > 0;
  }

  private synchronized void addCounts(
      PlatformService service, long received, long moreReads, long moreWrites, long refused) {
    counters.computeIfPresent(
        service, (key, old) -> old.plus(received, moreReads, moreWrites, refused));
  }

  private synchronized boolean consumeLostResponse(PlatformService service) {
    PlatformFaults current = faults.get(service);
    if (current.loseResponses() == 0) {
      return false;
    }
    if (current.loseResponses() > 0) {
      faults.put(service, current.withLoseResponses(current.loseResponses() - 1));
    }
    counters.computeIfPresent(service, (key, old) -> old.plusLost());
    return true;
  }
}
