package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * The limits that endpoints name in their answers. A later start of an endpoint ends its limit.
 * Where two sources differ, the one with the newer evidence counts. Not thread-safe.
 */
public final class EndpointLimits {
  /** Maximum number of limits; bounds the memory of a process that runs for many releases. */
  private static final int MAX_LIMITS = 4_096;

  /** Time for which the end of a limit is remembered and told to other processes. */
  private static final long ENDED_KEPT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<EndpointId, EndpointLimit> limitsById = new LinkedHashMap<>();

  /** Returns the limit that has an effect on this start of an endpoint. */
  public Optional<EndpointLimit> find(EndpointIncarnation endpoint, long nowNanos) {
    return Optional.ofNullable(limitsById.get(endpoint.endpoint()))
        .filter(limit -> endpoint.startedMillis() <= limit.startedMillis())
        .filter(limit -> limit.bindingAt(nowNanos));
  }

  /** Returns the number of endpoints that name a limit. */
  public int named() {
    return (int) limitsById.values().stream().filter(limit -> !limit.ended()).count();
  }

  /**
   * Applies a limit from the head of any answer. A higher one than is known is not applied, as the
   * answer may have been made before the known one.
   */
  public Optional<LimitChange> named(
      EndpointIncarnation endpoint, double requestsPerSecond, long nowNanos) {
    Optional<EndpointLimit> known = known(endpoint);
    if (known.isPresent()
        && !known.get().ended()
        && requestsPerSecond > known.get().requestsPerSecond()) {
      return Optional.empty();
    }
    return name(endpoint, requestsPerSecond, nowNanos, nowNanos);
  }

  /**
   * Applies what the answer to a request says. The answer raises or ends a limit only if its
   * request was sent after the newest evidence for the limit.
   *
   * @param sentNanos monotonic time in nanoseconds at which the request was sent
   */
  public Optional<LimitChange> answered(
      EndpointIncarnation endpoint, StatedLimit stated, long sentNanos, long nowNanos) {
    Optional<EndpointLimit> known = known(endpoint).filter(limit -> !limit.ended());
    if (known.isEmpty() || sentNanos - known.get().evidenceNanos() < 0) {
      return Optional.empty();
    }
    if (stated instanceof StatedLimit.Rate rate) {
      return name(endpoint, rate.requestsPerSecond(), sentNanos, nowNanos);
    }
    return stated instanceof StatedLimit.None
        ? end(endpoint, known.get(), sentNanos, nowNanos)
        : Optional.empty();
  }

  /** Removes limits that ended long ago. */
  public void removeExpired(long nowNanos) {
    limitsById
        .values()
        .removeIf(limit -> limit.ended() && nowNanos - limit.evidenceNanos() >= ENDED_KEPT_NANOS);
  }

  private Optional<EndpointLimit> known(EndpointIncarnation endpoint) {
    return Optional.ofNullable(limitsById.get(endpoint.endpoint()))
        .filter(limit -> limit.startedMillis() == endpoint.startedMillis());
  }

  private Optional<LimitChange> name(
      EndpointIncarnation endpoint, double requestsPerSecond, long evidenceNanos, long nowNanos) {
    EndpointLimit limit = limitsById.get(endpoint.endpoint());
    if (limit != null && limit.startedMillis() > endpoint.startedMillis()) {
      return Optional.empty();
    }
    OptionalDouble after = OptionalDouble.of(requestsPerSecond);
    if (limit == null || limit.startedMillis() < endpoint.startedMillis()) {
      limitsById.remove(endpoint.endpoint());
      limitsById.put(
          endpoint.endpoint(),
          new EndpointLimit(endpoint.startedMillis(), requestsPerSecond, evidenceNanos, nowNanos));
      removeOldest();
      return Optional.of(new LimitChange(endpoint, OptionalDouble.empty(), after));
    }
    OptionalDouble before =
        limit.ended() ? OptionalDouble.empty() : OptionalDouble.of(limit.requestsPerSecond());
    return limit.name(requestsPerSecond, evidenceNanos, nowNanos)
        ? Optional.of(new LimitChange(endpoint, before, after))
        : Optional.empty();
  }

  private Optional<LimitChange> end(
      EndpointIncarnation endpoint, EndpointLimit limit, long evidenceNanos, long nowNanos) {
    OptionalDouble before = OptionalDouble.of(limit.requestsPerSecond());
    limit.end(evidenceNanos, nowNanos);
    return Optional.of(new LimitChange(endpoint, before, OptionalDouble.empty()));
  }

  private void removeOldest() {
    if (limitsById.size() > MAX_LIMITS) {
      Iterator<EndpointId> ids = limitsById.keySet().iterator();
      ids.next();
      ids.remove();
    }
  }
}
