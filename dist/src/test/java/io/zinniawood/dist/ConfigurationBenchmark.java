package io.zinniawood.dist;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Measures the time from an edit of the folder until every entry of a data centre has it in force.
 */
public final class ConfigurationBenchmark {
  private static final int EDITS = 9;

  /** The default of the settings. */
  private static final long POLL_MILLIS = 2_000;

  private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");

  private ConfigurationBenchmark() {}

  /** Runs the benchmark and prints its figures. */
  public static void main(String[] arguments) {
    PrintStream out = System.out;
    Caller caller = new Caller();
    try (RealCluster cluster = new RealCluster("configuration", POLL_MILLIS)) {
      ENTRIES.forEach(cluster::addEntry);
      for (String id : ENTRIES) {
        Caller.await(() -> caller.get(cluster.entry(id).admin(), "/readyz").status() == 200);
      }
      long[] millis = new long[EDITS];
      for (int edit = 0; edit < EDITS; edit++) {
        String model = "edit-" + edit;
        long startNanos = System.nanoTime();
        cluster.putFile(model + ".toml", "[models.%s]\nlayers = 4\n".formatted(model));
        for (String id : ENTRIES) {
          Caller.await(() -> serves(caller, cluster.entry(id), model));
        }
        millis[edit] = (System.nanoTime() - startNanos) / 1_000_000;
      }
      Arrays.sort(millis);
      out.printf(
          Locale.ROOT,
          "ConfigurationBenchmark: %d edits, %d entries, poll %d ms: minimum %d ms, median %d ms,"
              + " maximum %d ms%n",
          EDITS,
          ENTRIES.size(),
          POLL_MILLIS,
          millis[0],
          millis[EDITS / 2],
          millis[EDITS - 1]);
    }
  }

  private static boolean serves(Caller caller, RealCluster.Entry entry, String model) {
    return caller
        .get(entry.callers(), "/v1/models")
        .body()
        .path("data")
        .findValuesAsText("id")
        .contains(model);
  }
}
