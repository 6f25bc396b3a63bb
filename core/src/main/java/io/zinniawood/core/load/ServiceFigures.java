package io.zinniawood.core.load;

import io.zinniawood.core.fleet.TrackedEndpoint;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What one relay told about its load on the endpoints of one service. */
final class ServiceFigures {
  /**
   * Time for which expired figures say how the rest of the totals is divided. Notices of 32 relays
   * have room to name 60 endpoints in 12 s.
   */
  private static final long DIVISION_NANOS = TimeUnit.SECONDS.toNanos(16);

  /** Weight of an endpoint without figures in that division: a quarter of a mean request. */
  private static final Share EVEN_WEIGHT = new Share(0.25, 3.5, 3);

  /** By hash of the endpoint; the one that was named longest ago comes first. */
  private final Map<Integer, Named> namedByEndpoint = new LinkedHashMap<>();

  /** Figures that have expired, which only divide what the totals show beyond the valid ones. */
  private final Map<Integer, Named> expiredByEndpoint = new LinkedHashMap<>();

  private ServiceLoad latest;
  private long heardNanos;

  /** What is counted in the sums for each endpoint of {@link #counted}, and for each other one. */
  private Share evenShare = Share.NONE;

  private Map<Integer, Share> counted = Map.of();

  private record Named(LoadFigures figures, long heardNanos) {}

  ServiceFigures(ServiceLoad first, long nowNanos) {
    latest = first;
    heardNanos = nowNanos;
  }

  void heard(ServiceLoad load, long nowNanos) {
    latest = load;
    heardNanos = nowNanos;
    for (EndpointFigures entry : load.endpoints()) {
      expiredByEndpoint.remove(entry.endpoint());
      namedByEndpoint.remove(entry.endpoint());
      namedByEndpoint.put(entry.endpoint(), new Named(entry.figures(), nowNanos));
    }
    expiredByEndpoint
        .values()
        .removeIf(expired -> nowNanos - expired.heardNanos() >= DIVISION_NANOS);
  }

  int arrivalsPerSecond() {
    return latest.arrivalsPerSecond();
  }

  long heardNanos() {
    return heardNanos;
  }

  /** Returns when the first of the valid figures was heard. */
  long oldestNanos() {
    return namedByEndpoint.isEmpty()
        ? heardNanos
        : namedByEndpoint.values().iterator().next().heardNanos();
  }

  /** Ends the validity of figures of endpoints that were heard at a time or before. */
  void expireHeardUntil(long nanos) {
    namedByEndpoint
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired = entry.getValue().heardNanos() - nanos <= 0;
              if (expired) {
                expiredByEndpoint.put(entry.getKey(), entry.getValue());
              }
              return expired;
            });
  }

  /**
   * Adds the figures to the sums.
   *
   * @param ownEndpoints endpoints of the service as this relay uses them itself
   */
  void addTo(
      LoadSum shares, Map<Integer, LoadSum> sumsByEndpoint, List<TrackedEndpoint> ownEndpoints) {
    divide(ownEndpoints);
    shares.add(evenShare);
    counted.forEach(
        (endpoint, share) ->
            sumsByEndpoint
                .computeIfAbsent(endpoint, hash -> new LoadSum())
                .add(share.minus(evenShare)));
  }

  /** Removes what {@link #addTo} added. */
  void removeFrom(LoadSum shares, Map<Integer, LoadSum> sumsByEndpoint) {
    shares.remove(evenShare);
    counted.forEach(
        (endpoint, share) ->
            sumsByEndpoint.computeIfPresent(
                endpoint,
                (hash, sum) -> {
                  sum.remove(share.minus(evenShare));
                  return sum.terms == 0 ? null : sum;
                }));
  }

  /**
   * Divides the totals. Valid figures count as they are. The rest is divided in proportion to
   * expired figures, or where there are none, to this relay's own load, as relays select alike.
   */
  private void divide(List<TrackedEndpoint> ownEndpoints) {
    Map<Integer, Share> weights = new HashMap<>();
    LoadSum weightSum = new LoadSum();
    for (TrackedEndpoint endpoint : ownEndpoints) {
      int hash = endpoint.loadHash();
      if (endpoint.inFlight() > 0
          && !namedByEndpoint.containsKey(hash)
          && !expiredByEndpoint.containsKey(hash)) {
        weights.put(hash, Share.of(NoticeEntries.figures(endpoint)).plus(EVEN_WEIGHT));
      }
    }
    expiredByEndpoint.forEach((hash, named) -> weights.put(hash, Share.of(named.figures())));
    weights.values().forEach(weightSum::add);
    int others = Math.max(0, latest.endpointCount() - namedByEndpoint.size() - weights.size());
    Share rest = Share.of(latest.totals()).minus(sum(namedByEndpoint)).atLeastZero();
    Share factor = rest.dividedBy(weightSum.total().plus(EVEN_WEIGHT.times(others)));
    evenShare = EVEN_WEIGHT.times(factor);
    counted = new HashMap<>();
    weights.forEach((hash, weight) -> counted.put(hash, weight.times(factor)));
    namedByEndpoint.forEach((hash, named) -> counted.put(hash, Share.of(named.figures())));
  }

  private static Share sum(Map<Integer, Named> figures) {
    LoadSum sum = new LoadSum();
    figures.values().forEach(named -> sum.add(Share.of(named.figures())));
    return sum.total();
  }
}
