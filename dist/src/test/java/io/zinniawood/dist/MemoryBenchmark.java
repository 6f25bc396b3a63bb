package io.zinniawood.dist;

import io.zinniawood.load.LatencyLimits;
import io.zinniawood.load.LoadGenerator;
import io.zinniawood.load.LoadPlan;
import io.zinniawood.load.LoadResult;
import io.zinniawood.load.Workload;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures the resident memory of an entry and of a plain service's agent before and after a load
 * of reads. The limit for an agent is 128 MB.
 */
public final class MemoryBenchmark {
  private static final double CALLS_PER_SECOND = 1_000;
  private static final long RUN_MILLIS = 30_000;
  private static final long IDLE_MILLIS = 12_000;
  private static final long SEED = 7;

  private MemoryBenchmark() {}

  /** Prints the resident memory before the load, right after it and after an idle period. */
  public static void main(String[] arguments) throws InterruptedException {
    PrintStream out = System.out;
    out.printf(
        Locale.ROOT,
        "MemoryBenchmark: %.0f reads/s for %d ms, then %d ms of rest, seed %d%n",
        CALLS_PER_SECOND,
        RUN_MILLIS,
        IDLE_MILLIS,
        SEED);
    try (ProcessCluster cluster = new ProcessCluster("memory")) {
      cluster.addService("c-1");
      cluster.addEntry("entry-1");
      ProcessCluster.Entry entry = cluster.entry("entry-1");
      new Caller().awaitCreditServiceReady(entry);
      RoleProcess agent = cluster.endpoint("c-1").agent();
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
      printMemory(out, "before", entry, agent);
      Workload reads =
          new Workload(
              "reads",
              ProcessCluster.API_KEY,
              CALLS_PER_SECOND,
              new Workload.Call.Get("credit", "/bins/b-1", 5_000));
      LoadResult result =
          new LoadGenerator(LatencyLimits.forDesignSize())
              .run(new LoadPlan(entry.callersUri(), List.of(reads), RUN_MILLIS, 10_000, SEED));
      printMemory(out, "after %d calls".formatted(result.completed()), entry, agent);
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
      printMemory(out, "at rest again", entry, agent);
    }
  }

  private static void printMemory(
      PrintStream out, String when, ProcessCluster.Entry entry, RoleProcess agent) {
    out.printf(
        Locale.ROOT,
        "%s: entry %.1f MB, agent %.1f MB%n",
        when,
        entry.process().usage().residentBytes() / 1e6,
        agent.usage().residentBytes() / 1e6);
  }
}
