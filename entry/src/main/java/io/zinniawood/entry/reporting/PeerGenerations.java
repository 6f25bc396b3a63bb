package io.zinniawood.entry.reporting;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.Generation;
import io.zinniawood.report.page.ConfigurationReport;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the last reported configuration generation of each peer. Agents use no configuration and
 * send 0, so they are left out. Thread-safe.
 */
final class PeerGenerations {
  /** Room for the peers of the lease holder, which connects to all 5,500 endpoints. */
  static final int MAX_PEERS = 8_192;

  /** A peer without a message for this time has left, so its generation is no longer current. */
  private static final long STALE_AFTER_MILLIS = TimeUnit.MINUTES.toMillis(1);

  private final ConcurrentHashMap<String, ReportedGeneration> peers = new ConcurrentHashMap<>();

  private record ReportedGeneration(long generation, long atEpochMillis) {}

  void update(String node, Generation generation, long nowEpochMillis) {
    if (generation.value() == 0) {
      return;
    }
    if (peers.size() < MAX_PEERS || peers.containsKey(node)) {
      peers.put(node, new ReportedGeneration(generation.value(), nowEpochMillis));
    }
  }

  void removeStale(long nowEpochMillis) {
    peers
        .values()
        .removeIf(reported -> nowEpochMillis - reported.atEpochMillis() > STALE_AFTER_MILLIS);
  }

  Vector<ConfigurationReport.ProcessGeneration> nodes() {
    return Vector.ofAll(peers.entrySet())
        .map(
            found ->
                new ConfigurationReport.ProcessGeneration(
                    found.getKey(),
                    found.getValue().generation(),
                    found.getValue().atEpochMillis()))
        .sortBy(ConfigurationReport.ProcessGeneration::name);
  }
}
