package io.zinniawood.core.relay;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.load.LoadHashes;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimated transfer backlog of the links between data centres. A link transfers one prompt after
 * another, so each path that crosses it delays all later ones.
 */
final class LinkBacklogs {
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  /** By hash of the link, as other relays name links by it. */
  private final Map<Integer, Long> idleAtNanos = new HashMap<>();

  /** Adds a transfer that occupies a link for the given number of milliseconds. */
  void addTransfer(DataCentreId from, DataCentreId to, double millis, long nowNanos) {
    addTransfer(LoadHashes.ofLink(from, to), millis, nowNanos);
  }

  /** Adds a transfer on a link that is given by its hash. */
  void addTransfer(int link, double millis, long nowNanos) {
    long startNanos = Math.max(nowNanos, idleAtNanos.getOrDefault(link, nowNanos));
    idleAtNanos.put(link, startNanos + (long) (millis * NANOS_PER_MILLI));
  }

  /** Returns the time until a link is idle, in milliseconds. */
  double backlogMillis(DataCentreId from, DataCentreId to, long nowNanos) {
    long idle = idleAtNanos.getOrDefault(LoadHashes.ofLink(from, to), nowNanos);
    return Math.max(0, idle - nowNanos) / NANOS_PER_MILLI;
  }
}
