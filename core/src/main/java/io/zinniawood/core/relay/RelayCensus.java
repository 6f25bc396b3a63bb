package io.zinniawood.core.relay;

import io.zinniawood.core.id.VmId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Counts the relays that show their presence, so that each can keep to its share of a limit. */
final class RelayCensus {
  /** Time without a new version of its row after which a relay no longer counts. */
  private static final long ABSENT_NANOS = TimeUnit.SECONDS.toNanos(12);

  private final Map<VmId, Seen> seen = new HashMap<>();
  private int count = 1;

  private record Seen(long version, long sinceNanos) {}

  /** Takes the versions of the presence rows. */
  void read(Map<VmId, Long> versions, long nowNanos) {
    versions.forEach(
        (vm, version) -> {
          Seen before = seen.get(vm);
          if (before == null || before.version() != version) {
            seen.put(vm, new Seen(version, nowNanos));
          }
        });
    seen.keySet().retainAll(versions.keySet());
    int present = 0;
    for (Seen row : seen.values()) {
      present += nowNanos - row.sinceNanos() < ABSENT_NANOS ? 1 : 0;
    }
    count = Math.max(1, present);
  }

  /** Returns the number of relays, this one included. */
  int count() {
    return count;
  }
}
