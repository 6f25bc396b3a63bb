package io.zinniawood.dist;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Measures the time from the write of a configuration file until every entry of a data centre
 * applies it.
 */
public final class ConfigurationBenchmark {
  private static final int EDIT_COUNT = 9;

  /** Default of the setting {@code poll_ms}. */
  private static final long POLL_MILLIS = 2_000;

  private static final List<String> ENTRY_IDS = List.of("entry-1", "entry-2", "entry-3");

  private ConfigurationBenchmark() {}

  /** Writes one model file per edit and prints the minimum, median and maximum delay. */
  public static void main(String[] arguments) {
    PrintStream out = System.out;
    Caller caller = new Caller();
    try (ProcessCluster cluster = new ProcessCluster("configuration", POLL_MILLIS)) {
      ENTRY_IDS.forEach(cluster::addEntry);
      for (String id : ENTRY_IDS) {
        Caller.await(() -> caller.get(cluster.entry(id).adminUri(), "/readyz").status() == 200);
      }
      long[] millis = new long[EDIT_COUNT];
      for (int edit = 0; edit < EDIT_COUNT; edit++) {
        String model = "edit-" + edit;
        long startNanos = System.nanoTime();
        cluster.putConfigurationFile(model + ".toml", "[models.%s]\nlayers = 4\n".formatted(model));
        for (String id : ENTRY_IDS) {
          Caller.await(() -> listsModel(caller, cluster.entry(id), model));
        }
        millis[edit] = (System.nanoTime() - startNanos) / 1_000_000;
      }
      Arrays.sort(millis);
      out.printf(
          Locale.ROOT,
          "ConfigurationBenchmark: %d edits, %d entries, poll %d ms: minimum %d ms, median %d ms,"
              + " maximum %d ms%n",
          EDIT_COUNT,
          ENTRY_IDS.size(),
          POLL_MILLIS,
          millis[0],
          millis[EDIT_COUNT / 2],
          millis[EDIT_COUNT - 1]);
    }
  }

  private static boolean listsModel(Caller caller, ProcessCluster.Entry entry, String model) {
    return caller
        .get(entry.callersUri(), "/v1/models")
        .body()
        .path("data")
        .findValuesAsText("id")
        .contains(model);
  }
}
