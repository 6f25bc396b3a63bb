package io.zinniawood.core.relay;

import io.zinniawood.core.id.VmId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counts the relays that show their presence, so that each can keep to its share of a limit. */
final class RelayPresence {
  /** Time without a new version of its row after which a relay no longer counts. */
  private static final long ABSENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(12);

  private final Map<VmId, LastChange> lastChanges = new HashMap<>();
  private int count = 1;

  private record LastChange(long version, long changedNanos) {}

  /** Takes the versions of the presence rows. */
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
    for (LastChange row : lastChanges.values()) {
      present += nowNanos - row.changedNanos() < ABSENCE_TIMEOUT_NANOS ? 1 : 0;
    }
    count = Math.max(1, present);
  }

  /** Returns the number of relays, this one included. */
  int count() {
    return count;
  }
}
