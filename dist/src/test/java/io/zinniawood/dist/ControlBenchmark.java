package io.zinniawood.dist;

import io.zinniawood.cli.local.ClusterPlan;
import io.zinniawood.cli.local.DemoPlan;
import io.zinniawood.cli.local.EndpointPlan;
import io.zinniawood.cli.local.LocalCluster;
import io.zinniawood.cli.local.Ports;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.platform.PlatformService;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Measures the cost of control traffic for an idle entry: bytes between zinniawood processes, reads
 * and writes of the platform's store, processor time and memory, for 10, 40 and 160 replicas. The
 * entry is a separate process; the agents run in this JVM.
 */
public final class ControlBenchmark {
  private static final int[] REPLICA_COUNTS = {10, 40, 160};
  private static final long WARM_UP_MILLIS = 20_000;
  private static final long WINDOW_MILLIS = 30_000;

  /** IP and TCP headers of one segment, including the TCP timestamp option. */
  private static final int SEGMENT_HEADER_BYTES = 52;

  private static final int LAYERS_PER_RANGE = 12;

  private ControlBenchmark() {}

  /** Measures each number of replicas in turn and prints one line for each. */
  public static void main(String[] arguments) throws Exception {
    PrintStream out = System.out;
    out.printf(
        Locale.ROOT,
        "ControlBenchmark: one entry at rest, poll 2 s, window %d ms after %d ms%n",
        WINDOW_MILLIS,
        WARM_UP_MILLIS);
    for (int replicas : REPLICA_COUNTS) {
      measure(out, replicas);
    }
  }

  private static void measure(PrintStream out, int replicas) throws Exception {
    try (LocalCluster cluster = LocalCluster.start(clusterPlan(replicas))) {
      NodeAddress admin = Ports.free();
      NodeAddress peers = Ports.free();
      String settings =
          """
          vm = "entry-1"
          data_centre = "tampere"
          callers = "%s"
          admin = "%s"
          peers = "%s"
          platform = "%s"
          """
              .formatted(Ports.free(), admin, peers, cluster.platformUri());
      try (RoleProcess entry = RoleProcess.start("entry", "control-" + replicas, settings)) {
        cluster.putEntryVm("entry-1", "tampere", peers);
        TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
        CounterSample before = CounterSample.read(entry, admin, cluster);
        TimeUnit.MILLISECONDS.sleep(WINDOW_MILLIS);
        printRates(out, replicas, before, CounterSample.read(entry, admin, cluster));
      }
    }
  }

  private static ClusterPlan clusterPlan(int replicas) {
    List<EndpointPlan> endpoints = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      int fromLayer = i % 2 * LAYERS_PER_RANGE;
      EngineSettings engine =
          EngineSettings.unlimited(DemoPlan.MODEL, fromLayer, fromLayer + LAYERS_PER_RANGE);
      endpoints.add(
          new EndpointPlan.Engine("e-" + i, "tampere", "assistant-" + fromLayer, 0, engine));
    }
    String models = "[models.assistant]\nlayers = 24\n";
    return new ClusterPlan(List.of(), endpoints, Map.of("10-models.toml", models), 100);
  }

  private static void printRates(
      PrintStream out, int replicas, CounterSample before, CounterSample after) {
    double seconds = WINDOW_MILLIS / 1_000.0;
    long segments = after.frames() - before.frames();
    out.printf(
        Locale.ROOT,
        "%d replicas: peers %.0f B/s and %.1f segments/s (%.0f B/s with headers),"
            + " store %.2f reads/s and %.2f writes/s,"
            + " processor %.2f%% of a core, resident %.1f MB%n",
        replicas,
        (after.bytes() - before.bytes()) / seconds,
        segments / seconds,
        (after.bytes() - before.bytes() + segments * SEGMENT_HEADER_BYTES) / seconds,
        (after.reads() - before.reads()) / seconds,
        (after.writes() - before.writes()) / seconds,
        (after.usage().cpuMillis() - before.usage().cpuMillis()) / (10 * seconds),
        after.usage().residentBytes() / 1e6);
  }

  /**
   * Values of the counters at one point in time.
   *
   * @param usage processor time and memory of the entry
   * @param bytes bytes that the entry has exchanged with its peers, both directions
   * @param frames frames that the entry has exchanged with its peers; each is taken as one segment
   * @param reads reads of the platform's store by all processes
   * @param writes writes to the platform's store by all processes
   */
  private record CounterSample(
      ProcessUsage usage, long bytes, long frames, long reads, long writes) {
    static CounterSample read(RoleProcess entry, NodeAddress admin, LocalCluster cluster)
        throws IOException {
      Request request =
          new Request.Builder().url(URI.create("http://" + admin + "/metrics").toString()).build();
      String text;
      try (Response response = new OkHttpClient().newCall(request).execute()) {
        text = response.body().string();
      }
      long reads = 0;
      long writes = 0;
      for (PlatformService service : PlatformService.values()) {
        reads += cluster.platform().reads(service);
        writes += cluster.platform().writes(service);
      }
      return new CounterSample(
          entry.usage(),
          metricValue(text, "peer_received_bytes") + metricValue(text, "peer_sent_bytes"),
          metricValue(text, "peer_received_frames") + metricValue(text, "peer_sent_frames"),
          reads,
          writes);
    }

    private static long metricValue(String text, String name) {
      return text.lines()
          .filter(line -> line.startsWith("zinniawood_" + name + " "))
          .map(line -> line.substring(line.lastIndexOf(' ') + 1))
          .mapToLong(value -> (long) Double.parseDouble(value))
          .findFirst()
          .orElseThrow(
              () ->
                  new IllegalStateException(
                      "/metrics of the entry has no metric zinniawood_" + name));
    }
  }
}
