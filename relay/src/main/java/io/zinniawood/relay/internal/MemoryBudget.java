package io.zinniawood.relay.internal;

import io.zinniawood.core.relay.Decision;
import io.zinniawood.ingress.CallerMemory;
import io.zinniawood.ingress.MemoryAccount;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Divides the direct memory of a relay and a part of its heap among its users. The rest is left to
 * the buffers of reads and writes in progress, and to the state of the relay.
 */
public final class MemoryBudget {
  /** Minimum time between two log lines on the same user. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<MemoryUser, Shortages> shortages = new EnumMap<>(MemoryUser.class);
  private final Map<MemoryUser, MemoryAccount> accounts = new EnumMap<>(MemoryUser.class);
  private final CallerMemory callers;
  private final Consumer<Decision> log;
  private final LongSupplier nanoClock;

  private static final class Shortages {
    private long refusals;
    private long loggedRefusals;
    private long lastLineNanos;
  }

  /**
   * Creates a budget.
   *
   * @param directMemoryBytes limit of the process on direct memory
   * @param heapBytes maximum size of the heap
   * @param maxCallerConnections number of callers' connections above which an idle one is closed
   * @param log receives a line while memory is short
   * @param nanoClock monotonic clock in nanoseconds
   */
  public MemoryBudget(
      long directMemoryBytes,
      long heapBytes,
      int maxCallerConnections,
      Consumer<Decision> log,
      LongSupplier nanoClock) {
    this.log = log;
    this.nanoClock = nanoClock;
    for (MemoryUser user : MemoryUser.values()) {
      shortages.put(user, new Shortages());
      accounts.put(
          user,
          new MemoryAccount(
              memoryBytes(user, directMemoryBytes, heapBytes) / user.divisor(),
              user.maxBufferBytes(),
              (usedBytes, limitBytes) -> memoryShort(user, usedBytes, limitBytes)));
    }
    callers = new CallerMemory(accounts.get(MemoryUser.CALLER_CONNECTIONS), maxCallerConnections);
    accounts.get(MemoryUser.ENDPOINT_ANSWERS).relievedBy(callers::disconnectSlowest);
  }

  private static long memoryBytes(MemoryUser user, long directMemoryBytes, long heapBytes) {
    return user == MemoryUser.CALLER_CONNECTIONS ? heapBytes : directMemoryBytes;
  }

  /** Returns the memory of the connections of all callers. */
  public CallerMemory callers() {
    return callers;
  }

  /** Returns the account of a user. */
  public MemoryAccount account(MemoryUser user) {
    return accounts.get(user);
  }

  /** Returns how many times bytes of a user were refused, or gave way, for want of memory. */
  public long refusals(MemoryUser user) {
    return shortages.get(user).refusals;
  }

  private void memoryShort(MemoryUser user, long usedBytes, long limitBytes) {
    Shortages counts = shortages.get(user);
    counts.refusals++;
    long nowNanos = nanoClock.getAsLong();
    if (counts.loggedRefusals > 0 && nowNanos - counts.lastLineNanos < LOG_INTERVAL_NANOS) {
      return;
    }
    log.accept(
        Decision.of(
            "memory-short",
            "reason",
            user.text(),
            "usedBytes",
            usedBytes,
            "limitBytes",
            limitBytes,
            "refusals",
            counts.refusals - counts.loggedRefusals));
    counts.loggedRefusals = counts.refusals;
    counts.lastLineNanos = nowNanos;
  }
}
