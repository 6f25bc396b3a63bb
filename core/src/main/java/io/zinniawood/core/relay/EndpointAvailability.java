package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.limit.EndpointLimit;
import io.zinniawood.core.route.EngineProfile;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * When a request can be sent that no endpoint takes now, because endpoints want no requests for a
 * time or have reached the limits that they name.
 *
 * @param firstNanos monotonic time in nanoseconds at which the first endpoint or path becomes
 *     available; empty if one is available now, or if none becomes available in this way
 * @param requestsPerSecond rate at which limits allow requests from then on; infinite if no limit
 *     is reached
 */
record EndpointAvailability(OptionalLong firstNanos, double requestsPerSecond) {
  /** Share of a Retry-After that is added at random, which spreads the retries of callers. */
  private static final double RETRY_SPREAD_SHARE = 0.25;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private static final EndpointAvailability NOW =
      new EndpointAvailability(OptionalLong.empty(), Double.POSITIVE_INFINITY);

  /** Determines the availability for new requests to the service of a request. */
  static EndpointAvailability of(RelayTurn turn, OpenRequest open) {
    TreeSet<Long> waitsNanos = new TreeSet<>();
    double requestsPerSecond = 0;
    for (TrackedEndpoint endpoint : turn.state.fleet.ofService(open.service)) {
      if (endpoint.pausedAt(turn.nowNanos)) {
        waitsNanos.add(endpoint.pauseEndNanos() - turn.nowNanos);
      }
      Optional<EndpointLimit> limit = endpoint.limit(turn.nowNanos);
      if (limit.isPresent() && !limit.get().permitted()) {
        waitsNanos.add(limit.get().permittedNanos(turn.nowNanos) - turn.nowNanos);
        requestsPerSecond += limit.get().ownRatePerSecond();
      }
    }
    if (waitsNanos.isEmpty() || availableAt(turn, open, turn.nowNanos)) {
      return NOW;
    }
    for (long waitNanos : waitsNanos) {
      long atNanos = turn.nowNanos + waitNanos;
      if (availableAt(turn, open, atNanos)) {
        return new EndpointAvailability(
            OptionalLong.of(atNanos),
            requestsPerSecond > 0 ? requestsPerSecond : Double.POSITIVE_INFINITY);
      }
    }
    return NOW;
  }

  /**
   * Returns when a request can be sent; empty if it need not wait for pauses or limits.
   *
   * @param ahead number of requests for the same service that are sent before
   */
  OptionalLong nanosAfter(int ahead) {
    long aheadNanos = (long) (ahead / requestsPerSecond * NANOS_PER_SECOND);
    return firstNanos.isPresent()
        ? OptionalLong.of(firstNanos.getAsLong() + aheadNanos)
        : firstNanos;
  }

  private static boolean availableAt(RelayTurn turn, OpenRequest open, long atNanos) {
    Optional<EngineProfile> engine = turn.state.engine(open.service);
    return engine.isPresent()
        ? new PathSelector(turn, engine.get(), open).existsAt(atNanos)
        : new PlainEndpointSelector(turn, open.service).anyUsableAt(atNanos);
  }

  /** Refuses a request for which no endpoint is usable. */
  static void refuseWithoutEndpoint(RelayTurn turn, OpenRequest open) {
    OptionalLong available = of(turn, open).firstNanos();
    if (available.isPresent()) {
      refuse(turn, open, available.getAsLong());
    } else {
      AttemptOutcomes.refuse(turn, open, "no-endpoint");
    }
  }

  /** Refuses a request until endpoints accept requests again. */
  static void refuse(RelayTurn turn, OpenRequest open, long availableNanos) {
    boolean limited =
        turn.state.fleet.ofService(open.service).stream()
            .anyMatch(
                endpoint -> endpoint.usable(turn.nowNanos) && endpoint.limitReached(turn.nowNanos));
    String reason = limited ? "endpoints-limited" : "endpoints-paused";
    if (open.headRelayed || open.possibleRuns > 0) {
      AttemptOutcomes.refuse(turn, open, reason);
      return;
    }
    long waitMillis = Math.max(1, turn.millisUntil(availableNanos));
    if (limited) {
      // Permits come one by one, so callers must not all return when the first one does.
      AttemptOutcomes.refuse(turn, open, reason, waitMillis);
      return;
    }
    long spreadMillis = (long) (RETRY_SPREAD_SHARE * waitMillis * turn.state.random.nextDouble());
    AttemptOutcomes.refuseFor(turn, open, reason, waitMillis + spreadMillis);
  }
}
