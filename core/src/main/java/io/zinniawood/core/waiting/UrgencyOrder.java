package io.zinniawood.core.waiting;

import io.zinniawood.core.id.ClientAccountId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * Order of the waiting requests of a service: streams that have started, requests that have been
 * overtaken for long enough, those of accounts and priorities that would be starved, then by
 * priority of the account, priority of the route, return after a refusal, capacity in use by the
 * account, and arrival. Designed for at most 512 requests in each tick of 25 ms.
 */
public final class UrgencyOrder {
  /** Number of more urgent requests that may overtake one; a queue of eight takes one target. */
  static final int MAX_OVERTAKEN = 8;

  private static final Comparator<Entry<?>> BEFORE_ACCOUNTS =
      Comparator.<Entry<?>>comparingInt(entry -> entry.rank)
          .thenComparingInt(entry -> entry.request.accountPriority())
          .thenComparingInt(entry -> entry.request.routePriority())
          .thenComparing(entry -> !entry.request.returning());

  private static final Comparator<Entry<?>> BY_ARRIVAL =
      BEFORE_ACCOUNTS.thenComparingLong(entry -> entry.request.arrivedNanos());

  private static final Comparator<Entry<?>> FINAL =
      BEFORE_ACCOUNTS
          .thenComparingDouble(entry -> entry.accountCost)
          .thenComparingLong(entry -> entry.request.arrivedNanos());

  private static final int STARTED = 0;
  private static final int DUE = 1;
  private static final int GUARANTEED = 2;
  private static final int ORDINARY = 3;

  private static final class Entry<T> {
    final T item;
    final WaitingRequest request;
    int rank;
    double accountCost;

    Entry(T item, WaitingRequest request) {
      this.item = item;
      this.request = request;
    }
  }

  private UrgencyOrder() {}

  /**
   * Returns items in the order in which they are to be sent.
   *
   * @param inUse capacity in use by an account
   */
  public static <T> List<T> sort(
      List<T> items,
      Function<T, WaitingRequest> requestOf,
      ToLongFunction<Optional<ClientAccountId>> inUse,
      long nowNanos) {
    List<Entry<T>> entries = new ArrayList<>(items.size());
    items.forEach(item -> entries.add(new Entry<>(item, requestOf.apply(item))));
    entries.sort(Comparator.comparingLong(entry -> entry.request.arrivedNanos()));
    // Only the oldest request of an account can be due, so that an account with many waiting
    // requests does not pass the others with all of them.
    Set<Optional<ClientAccountId>> withDue = new HashSet<>();
    for (Entry<T> entry : entries) {
      WaitingRequest request = entry.request;
      boolean due = !request.started() && request.due(nowNanos) && withDue.add(request.account());
      entry.rank =
          request.started() ? STARTED : due ? DUE : request.guaranteed() ? GUARANTEED : ORDINARY;
    }
    entries.sort(BY_ARRIVAL);
    // Each request counts as in use for the next one of its account.
    Map<Optional<ClientAccountId>, Long> costs = new HashMap<>();
    for (Entry<T> entry : entries) {
      Optional<ClientAccountId> account = entry.request.account();
      long cost = costs.computeIfAbsent(account, inUse::applyAsLong);
      entry.accountCost = cost;
      costs.put(account, cost + entry.request.cost());
    }
    entries.sort(FINAL);
    List<T> sorted = new ArrayList<>(entries.size());
    entries.forEach(entry -> sorted.add(entry.item));
    return sorted;
  }
}
