package io.zinniawood.core.waiting;

import io.zinniawood.core.rate.DecayingRate;
import java.util.HashMap;
import java.util.Map;

/**
 * Shares of requests that were served, by group and in all, with which no group is starved.
 *
 * @param <G> group of requests, as a client account or a priority
 */
final class ServedShares<G> {
  /**
   * Share of the mean that each group gets at least. The requirement is a quarter; the rest is for
   * the requests of a group between two that are sent ahead of others.
   */
  private static final double MIN_SHARE_OF_MEAN = 0.4;

  /** Mean age of the requests that count; groups with one request in two seconds still show. */
  private static final double MEAN_AGE_SECONDS = 20;

  private static final int MAX_GROUPS = 1_024;

  /** Weight of the arrivals of a group below which it is forgotten. */
  private static final double FORGOTTEN_WEIGHT = 0.1;

  private final Map<G, Group> groups = new HashMap<>();
  private final Group all = new Group();

  private static final class Group {
    final DecayingRate arrived = new DecayingRate(MEAN_AGE_SECONDS);
    final DecayingRate served = new DecayingRate(MEAN_AGE_SECONDS);
    int guaranteedWaiting;
  }

  void arrived(G group, long nowNanos) {
    all.arrived.add(nowNanos);
    if (groups.size() >= MAX_GROUPS && !groups.containsKey(group)) {
      groups
          .values()
          .removeIf(
              known ->
                  known.guaranteedWaiting == 0
                      && known.arrived.weight(nowNanos) < FORGOTTEN_WEIGHT);
    }
    if (groups.size() < MAX_GROUPS || groups.containsKey(group)) {
      groups.computeIfAbsent(group, key -> new Group()).arrived.add(nowNanos);
    }
  }

  void served(G group, long nowNanos) {
    all.served.add(nowNanos);
    Group known = groups.get(group);
    if (known != null) {
      known.served.add(nowNanos);
    }
  }

  /**
   * Returns the number of requests that a group lacks to its minimum share, beside those that wait
   * with a guarantee; may be negative.
   */
  double missing(G group, long nowNanos) {
    Group known = groups.get(group);
    if (known == null) {
      return 0;
    }
    double meanShare =
        Math.min(1, all.served.weight(nowNanos) / Math.max(1, all.arrived.weight(nowNanos)));
    double due = MIN_SHARE_OF_MEAN * meanShare * known.arrived.weight(nowNanos);
    return due - known.served.weight(nowNanos) - known.guaranteedWaiting;
  }

  /** Adds to the number of requests of a group that wait with a guarantee. */
  void addGuaranteed(G group, int change) {
    Group known = groups.get(group);
    if (known != null) {
      known.guaranteedWaiting = Math.max(0, known.guaranteedWaiting + change);
    }
  }
}
