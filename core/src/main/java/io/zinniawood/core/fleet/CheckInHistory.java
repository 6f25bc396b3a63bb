package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.EndpointIncarnation;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Last check-in of each start of an endpoint, kept beyond the removal of its entry. The store may
 * perform a write that got no answer seconds after it was sent, so a later version of a row may
 * hold an earlier check-in. Not thread-safe.
 */
final class CheckInHistory {
  /** Time after which the store performs no more writes that got no answer; documented are 6 s. */
  private static final long MAX_WRITE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Time after the last check-in for which an endpoint is remembered. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Maximum number of starts that are remembered for an endpoint. */
  private static final int MAX_STARTS = 8;

  private final Map<EndpointId, Starts> startsById = new HashMap<>();

  /** What is remembered of the starts of one endpoint. */
  private static final class Starts {
    /** Sequence of the last check-in of each start, in the order of these check-ins. */
    final Map<EndpointIncarnation, Long> lastSequences = new LinkedHashMap<>();

    /** Start that made the last check-in of all. */
    long latestStartedMillis;

    long lastCheckInNanos;

    /** Last entry that seemed to be written late; empty after a check-in. */
    Optional<FleetEndpoint> lateEntry = Optional.empty();

    /** Time at which the first of the successive late entries of that start came. */
    long lateSinceNanos;

    boolean precedesCheckIn(FleetEndpoint entry) {
      Long last = lastSequences.get(entry.incarnation());
      return last != null && entry.sequence() > 0 && entry.sequence() < last;
    }

    boolean isOfFormerStart(FleetEndpoint entry) {
      return entry.startedMillis() > 0 && entry.startedMillis() < latestStartedMillis;
    }

    /**
     * Returns whether the start of a seemingly late entry goes on to check in: its clock was set
     * back, or what seems to be later was written by somebody else. Check-ins that precede a known
     * one must have come for longer than writes can be late.
     */
    boolean goesOn(FleetEndpoint entry, long nowNanos) {
      return lateEntry.filter(entry::continues).isPresent()
          && (!precedesCheckIn(entry) || nowNanos - lateSinceNanos >= MAX_WRITE_DELAY_NANOS);
    }

    void recordLate(FleetEndpoint entry, long nowNanos) {
      boolean sameStart =
          lateEntry.filter(late -> late.startedMillis() == entry.startedMillis()).isPresent();
      if (!sameStart) {
        lateSinceNanos = nowNanos;
      }
      lateEntry = Optional.of(entry);
    }
  }

  /** Returns whether an entry was written before what is known, so that it says nothing new. */
  boolean writtenLate(FleetEndpoint entry, long nowNanos) {
    Starts starts = startsById.get(entry.id());
    return starts != null
        && (starts.precedesCheckIn(entry) || starts.isOfFormerStart(entry))
        && !starts.goesOn(entry, nowNanos);
  }

  /** Records an entry that was written late; see {@link #writtenLate}. */
  void recordLate(FleetEndpoint entry, long nowNanos) {
    startsById.get(entry.id()).recordLate(entry, nowNanos);
  }

  /** Records a check-in that was not written late. */
  void recordCheckIn(FleetEndpoint entry, long nowNanos) {
    Starts starts = startsById.computeIfAbsent(entry.id(), id -> new Starts());
    // Removed first, so that the start becomes the last one in the order.
    starts.lastSequences.remove(entry.incarnation());
    starts.lastSequences.put(entry.incarnation(), entry.sequence());
    if (starts.lastSequences.size() > MAX_STARTS) {
      starts.lastSequences.remove(starts.lastSequences.keySet().iterator().next());
    }
    starts.latestStartedMillis = entry.startedMillis();
    starts.lastCheckInNanos = nowNanos;
    starts.lateEntry = Optional.empty();
  }

  /** Forgets endpoints that are not listed and have not checked in for long. */
  void removeExpired(Predicate<EndpointId> listed, long nowNanos) {
    startsById
        .entrySet()
        .removeIf(
            known ->
                !listed.test(known.getKey())
                    && nowNanos - known.getValue().lastCheckInNanos >= RETENTION_NANOS);
  }
}
