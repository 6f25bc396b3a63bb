package io.zinniawood.core.relay;

import io.zinniawood.core.id.VmId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counts the live relays by their presence rows, so that each can keep to its share of a limit. */
final class RelayPresence {
  /** Time without a new version of its presence row after which a relay is no longer counted. */
  private static final long ABSENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(12);

  private final Map<VmId, LastChange> lastChanges = new HashMap<>();
  private int count = 1;

  private record LastChange(long version, long changedNanos) {}

  /** Updates the count from the current versions of the presence rows. */
  void update(Map<VmId, Long> versions, long nowNanos) {
    versions.forEach(
        (vm, version) -> {
          LastChange before = lastChanges.get(vm);
          if (before == null || before.version() != version) {
            lastChanges.put(vm, new LastChange(version, nowNanos));
          }
        });
    lastChanges.keySet().retainAll(versions.keySet());
    int present = 0;
    for (LastChange change : lastChanges.values()) {
      present += nowNanos - change.changedNanos() < ABSENCE_TIMEOUT_NANOS ? 1 : 0;
    }
    count = Math.max(1, present);
  }

  /** Returns the number of live relays, including this one; at least 1. */
  int count() {
    return count;
  }
}
