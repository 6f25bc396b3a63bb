package io.zinniawood.entry.reporting;

import io.vavr.collection.Vector;
import io.zinniawood.core.id.Generation;
import io.zinniawood.report.page.ConfigurationReport;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Remembers the configuration generation of each peer. Agents use no configuration and send 0, so
 * they are left out. Safe for use by several threads.
 */
final class PeerGenerations {
  /** Peers of the holder of the controller lease, which connects to all 5,500 endpoints. */
  static final int MAX_PEERS = 8_192;

  /** A peer that is silent for longer has left; its generation says nothing of the present. */
  private static final long FORGET_MILLIS = TimeUnit.MINUTES.toMillis(1);

  private final ConcurrentHashMap<String, Heard> peers = new ConcurrentHashMap<>();

  private record Heard(long generation, long atEpochMillis) {}

  void heard(String node, Generation generation, long nowEpochMillis) {
    if (generation.value() == 0) {
      return;
    }
    if (peers.size() < MAX_PEERS || peers.containsKey(node)) {
      peers.put(node, new Heard(generation.value(), nowEpochMillis));
    }
  }

  void forgetOld(long nowEpochMillis) {
    peers.values().removeIf(heard -> nowEpochMillis - heard.atEpochMillis() > FORGET_MILLIS);
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
