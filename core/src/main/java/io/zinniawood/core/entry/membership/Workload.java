package io.zinniawood.core.entry.membership;

import io.zinniawood.core.entry.limits.ConcurrencyLimit;

/**
 * Work of this entry at an endpoint.
 *
 * @param inFlight number of sessions and calls in flight
 * @param limit adaptive limit of the work in flight
 * @param virtualTime virtual time of the endpoint in the weighted selection (stride scheduling)
 */
public record Workload(int inFlight, ConcurrencyLimit limit, double virtualTime) {
  /** No work. */
  public static final Workload NONE = new Workload(0, ConcurrencyLimit.initial(1), 0);

  /** Returns this workload with one more session or call in flight. */
  public Workload acquired(double nextVirtualTime) {
    return new Workload(inFlight + 1, limit, nextVirtualTime);
  }

  /** Returns this workload with one session or call less in flight. */
  public Workload released() {
    return new Workload(Math.max(0, inFlight - 1), limit, virtualTime);
  }

  /** Returns this workload with another limit. */
  public Workload withLimit(ConcurrencyLimit changed) {
    return new Workload(inFlight, changed, virtualTime);
  }
}
