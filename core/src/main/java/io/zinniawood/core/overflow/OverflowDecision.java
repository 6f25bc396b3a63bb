package io.zinniawood.core.overflow;

import io.zinniawood.core.id.DataCentreId;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Where new requests of a service may run.
 *
 * @param shares share of new requests, 0 to 1, that may start in each other data centre
 * @param crossings other data centres with which a path may be shared
 * @param reason why the shares are as they are
 */
public record OverflowDecision(
    Map<DataCentreId, Double> shares, Set<DataCentreId> crossings, OverflowReason reason) {
  /** Makes unmodifiable copies of the collections; the shares are sorted by data centre. */
  public OverflowDecision {
    shares = Collections.unmodifiableMap(new TreeMap<>(shares));
    crossings = Set.copyOf(crossings);
  }

  /** Returns the share of new requests that may leave the own data centre. */
  public double totalShare() {
    double total = 0;
    for (double share : shares.values()) {
      total += share;
    }
    return total;
  }

  /**
   * Returns the data centre in which a request may start beside its own one; empty if it stays.
   *
   * @param draw random number of the request, from 0 to 1 exclusive
   */
  public Optional<DataCentreId> destination(double draw) {
    double remaining = draw;
    for (Map.Entry<DataCentreId, Double> entry : shares.entrySet()) {
      remaining -= entry.getValue();
      if (remaining < 0) {
        return Optional.of(entry.getKey());
      }
    }
    return Optional.empty();
  }
}
