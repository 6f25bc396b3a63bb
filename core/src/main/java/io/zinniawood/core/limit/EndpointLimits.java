package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.notice.NoticeQueue;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The limits that endpoints name in their answers. A later start of an endpoint ends its limit.
 * Where two sources differ, the one with the newer evidence counts. Not thread-safe.
 */
public final class EndpointLimits {
  /** Maximum number of limits; bounds the memory of a process that runs for many releases. */
  private static final int MAX_LIMITS = 4_096;

  /** Maximum number of characters of the ids in one notice, so that it fits into a packet. */
  private static final int MAX_NOTICE_CHARACTERS = 300;

  /** Maximum number of gifts in one message, so that it fits into a packet. */
  private static final int MAX_GIFTS = 8;

  /** Time for which the end of a limit is remembered and told to other processes. */
  private static final long ENDED_KEPT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<EndpointId, EndpointLimit> limitsById = new LinkedHashMap<>();
  private final NoticeQueue<EndpointId> noticeQueue =
      new NoticeQueue<>(MAX_NOTICE_CHARACTERS, id -> id.value().length());
  private LimitShares shares = LimitShares.NOTHING;

  /** Sets the rule by which limits are divided from now on. */
  public void divideBy(LimitShares newShares, long nowNanos) {
    limitsById.values().forEach(limit -> limit.refill(shares, nowNanos));
    shares = newShares;
    limitsById.values().forEach(limit -> limit.refill(shares, nowNanos));
  }

  /** Returns the limit that has an effect on this start of an endpoint, with its permits. */
  public Optional<EndpointLimit> find(EndpointIncarnation endpoint, long nowNanos) {
    EndpointLimit limit = limitsById.get(endpoint.endpoint());
    if (limit == null
        || endpoint.startedMillis() > limit.endpoint().startedMillis()
        || !limit.bindingAt(nowNanos)) {
      return Optional.empty();
    }
    limit.refill(shares, nowNanos);
    return Optional.of(limit);
  }

  /** Returns the number of endpoints that name a limit. */
  public int named() {
    return (int) limitsById.values().stream().filter(limit -> !limit.ended()).count();
  }

  /** Returns the rate of this process under all limits together, in requests a second. */
  public double ownRatePerSecond() {
    return limitsById.values().stream()
        .filter(limit -> !limit.ended())
        .mapToDouble(EndpointLimit::ownRatePerSecond)
        .sum();
  }

  /**
   * Applies a limit from the head of any answer. A higher one than is known is not applied, as the
   * answer may have been made before the known one.
   */
  public Optional<LimitChange> named(
      EndpointIncarnation endpoint, double requestsPerSecond, long nowNanos) {
    Optional<EndpointLimit> known = known(endpoint).filter(limit -> !limit.ended());
    return known.isPresent() && requestsPerSecond > known.get().requestsPerSecond()
        ? Optional.empty()
        : name(endpoint, requestsPerSecond, nowNanos, nowNanos);
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
        ? Optional.of(end(known.get(), sentNanos, nowNanos))
        : Optional.empty();
  }

  /** Applies what another process tells of a limit, if its evidence is newer. */
  public Optional<LimitChange> told(VmId sender, LimitEntry entry, long nowNanos) {
    long evidenceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(entry.evidenceAgeMillis());
    Optional<EndpointLimit> known = known(entry.endpoint());
    Optional<LimitChange> change = Optional.empty();
    if (known.isEmpty() || evidenceNanos - known.get().evidenceNanos() > 0) {
      if (!entry.ended()) {
        change = name(entry.endpoint(), entry.requestsPerSecond(), evidenceNanos, nowNanos);
      } else if (known.isPresent() && !known.get().ended()) {
        change = Optional.of(end(known.get(), evidenceNanos, nowNanos));
      }
    }
    known(entry.endpoint()).ifPresent(limit -> limit.othersWant(sender, entry.wanted(), nowNanos));
    return change;
  }

  /** Adds permits that another process gave to this one. */
  public void receive(PermitGift gift, long nowNanos) {
    find(gift.endpoint(), nowNanos).ifPresent(limit -> limit.receive(gift.permits(), nowNanos));
  }

  /** Gives permits to other processes that want some. */
  public List<PermitGift> gifts(long nowNanos) {
    List<PermitGift> gifts = new ArrayList<>();
    for (EndpointLimit limit : limitsById.values()) {
      if (gifts.size() < MAX_GIFTS && limit.bindingAt(nowNanos)) {
        limit.refill(shares, nowNanos);
        gifts.addAll(limit.gifts(MAX_GIFTS - gifts.size(), nowNanos));
      }
    }
    return gifts;
  }

  /**
   * Returns what to tell other processes next. Repeated calls return all limits in turn; those that
   * were just learned come first.
   *
   * @param relevant whether other processes may still use the endpoint
   */
  public List<LimitEntry> nextNotice(Predicate<EndpointIncarnation> relevant, long nowNanos) {
    List<LimitEntry> entries = new ArrayList<>();
    for (EndpointId id : noticeQueue.next(id -> relevant.test(limitsById.get(id).endpoint()))) {
      EndpointLimit limit = limitsById.get(id);
      entries.add(
          new LimitEntry(
              limit.endpoint(),
              limit.requestsPerSecond(),
              limit.ended(),
              TimeUnit.NANOSECONDS.toMillis(nowNanos - limit.evidenceNanos()),
              limit.wantedAt(nowNanos)));
    }
    return entries;
  }

  /** Removes limits that ended long ago. */
  public void removeExpired(long nowNanos) {
    boolean removed =
        limitsById
            .values()
            .removeIf(
                limit -> limit.ended() && nowNanos - limit.evidenceNanos() >= ENDED_KEPT_NANOS);
    if (removed) {
      noticeQueue.removeIf(id -> !limitsById.containsKey(id));
    }
  }

  private Optional<EndpointLimit> known(EndpointIncarnation endpoint) {
    return Optional.ofNullable(limitsById.get(endpoint.endpoint()))
        .filter(limit -> limit.endpoint().equals(endpoint));
  }

  private Optional<LimitChange> name(
      EndpointIncarnation endpoint, double requestsPerSecond, long evidenceNanos, long nowNanos) {
    EndpointLimit limit = limitsById.get(endpoint.endpoint());
    if (limit != null && limit.endpoint().startedMillis() > endpoint.startedMillis()) {
      return Optional.empty();
    }
    OptionalDouble after = OptionalDouble.of(requestsPerSecond);
    if (limit == null || !limit.endpoint().equals(endpoint)) {
      add(new EndpointLimit(endpoint, requestsPerSecond, evidenceNanos, nowNanos), nowNanos);
      return Optional.of(new LimitChange(endpoint, OptionalDouble.empty(), after));
    }
    OptionalDouble before =
        limit.ended() ? OptionalDouble.empty() : OptionalDouble.of(limit.requestsPerSecond());
    limit.refill(shares, nowNanos);
    if (!limit.name(requestsPerSecond, evidenceNanos, nowNanos)) {
      return Optional.empty();
    }
    tellNext(endpoint.endpoint());
    return Optional.of(new LimitChange(endpoint, before, after));
  }

  private LimitChange end(EndpointLimit limit, long evidenceNanos, long nowNanos) {
    OptionalDouble before = OptionalDouble.of(limit.requestsPerSecond());
    limit.refill(shares, nowNanos);
    limit.end(evidenceNanos, nowNanos);
    tellNext(limit.endpoint().endpoint());
    return new LimitChange(limit.endpoint(), before, OptionalDouble.empty());
  }

  private void add(EndpointLimit limit, long nowNanos) {
    EndpointId id = limit.endpoint().endpoint();
    limitsById.remove(id);
    limitsById.put(id, limit);
    limit.refill(shares, nowNanos);
    if (limitsById.size() > MAX_LIMITS) {
      Iterator<EndpointId> ids = limitsById.keySet().iterator();
      EndpointId oldest = ids.next();
      ids.remove();
      noticeQueue.removeIf(oldest::equals);
    }
    tellNext(id);
  }

  private void tellNext(EndpointId id) {
    noticeQueue.removeIf(id::equals);
    noticeQueue.addFirst(id);
  }
}
