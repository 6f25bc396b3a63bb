package io.zinniawood.cli.bench;

import io.zinniawood.cli.local.LocalCluster;
import io.zinniawood.load.LoadResult;
import io.zinniawood.load.WorkloadResult;
import java.io.PrintStream;
import java.util.Locale;

/** Load scenarios that compare the production routing with the naive policy. */
public final class Scenarios {
  /** Request rates as shares of the maximum-flow bound. */
  private static final double[] LOAD_SHARES = {0.5, 0.8, 0.95};

  private static final double[] OVERLOAD_FACTORS = {1, 2, 10};

  /** Request rate of the recovery scenario as a share of the maximum-flow bound. */
  private static final double RECOVERY_SHARE = 0.4;

  private static final long RUN_MILLIS = 8_000;
  private static final long RECOVERY_RUN_MILLIS = 12_000;

  private final PrintStream out;
  private final long seed;

  /** Creates the scenarios; the seed determines arrival times and request contents. */
  public Scenarios(PrintStream out, long seed) {
    this.out = out;
    this.seed = seed;
  }

  /** Prints throughput and latency at increasing shares of the maximum-flow bound. */
  public void bound() throws InterruptedException {
    printBound();
    for (double share : LOAD_SHARES) {
      for (EntryPolicy policy : EntryPolicy.values()) {
        double rate = BenchPlan.boundRequestsPerSecond() * share;
        LoadResult result = ScenarioRun.run(policy, rate, RUN_MILLIS, seed, cluster -> {});
        printLine("share %.2f %-5s %s", share, policy, summary(result));
      }
    }
  }

  /** Prints goodput at one, two and ten times the maximum-flow bound. */
  public void overload() throws InterruptedException {
    printBound();
    for (double factor : OVERLOAD_FACTORS) {
      for (EntryPolicy policy : EntryPolicy.values()) {
        double rate = BenchPlan.boundRequestsPerSecond() * factor;
        LoadResult result = ScenarioRun.run(policy, rate, RUN_MILLIS, seed, cluster -> {});
        printLine("load %.0fx %-5s %s", factor, policy, summary(result));
      }
    }
  }

  /** Prints the token rate before and after faults, at 0.4 of the maximum-flow bound. */
  public void recovery() throws InterruptedException {
    printBound();
    recovery("stage killed", cluster -> closeEndpoint(cluster, "large-1"));
    recovery(
        "connection silent",
        cluster -> cluster.endpoints().get("large-1").proxy().stopForwardingInBothDirections());
    recovery(
        "three of four replicas of a range killed",
        cluster -> {
          closeEndpoint(cluster, "medium-1");
          closeEndpoint(cluster, "small-1");
          closeEndpoint(cluster, "tiny-1");
        });
  }

  private static void closeEndpoint(LocalCluster cluster, String endpoint) {
    cluster.endpoints().get(endpoint).close();
  }

  private void recovery(String name, ScenarioRun.Fault fault) throws InterruptedException {
    for (EntryPolicy policy : EntryPolicy.values()) {
      double rate = BenchPlan.boundRequestsPerSecond() * RECOVERY_SHARE;
      LoadResult result = ScenarioRun.run(policy, rate, RECOVERY_RUN_MILLIS, seed, fault);
      printLine("%s %-5s %s", name, policy, summary(result));
      printLine("  tokens in 100 ms around the fault: %s", tokensAroundFault(result));
    }
  }

  private static String tokensAroundFault(LoadResult result) {
    long[] tokens = result.timeline().tokens();
    int middle = (int) (RECOVERY_RUN_MILLIS / 2 / result.timeline().intervalMillis());
    StringBuilder text = new StringBuilder();
    for (int i = middle - 5; i < middle + 35 && i < tokens.length; i++) {
      text.append(i == middle ? "| " : "").append(tokens[i]).append(' ');
    }
    return text.toString().strip();
  }

  private void printBound() {
    printLine(
        "maximum-flow bound %.0f tokens/s, %.2f requests/s of %d tokens; seed %d",
        BenchPlan.boundTokensPerSecond(),
        BenchPlan.boundRequestsPerSecond(),
        BenchPlan.MAX_TOKENS,
        seed);
  }

  private static String summary(LoadResult result) {
    WorkloadResult chat = result.workloads().get(0);
    double seconds = result.plan().durationMillis() / 1_000.0;
    double bound = BenchPlan.boundRequestsPerSecond();
    return String.format(
        Locale.ROOT,
        "sent %.1f/s, completed %.1f/s (%.3f of bound), goodput %.1f/s (%.3f of bound), first token"
            + " p95 %.0f ms, between tokens p95 %.1f ms, broken %d, problems %s",
        chat.sent() / seconds,
        chat.completed() / seconds,
        chat.completed() / seconds / bound,
        chat.withinObjective() / seconds,
        chat.withinObjective() / seconds / bound,
        chat.firstTokenMicros().getValueAtPercentile(95) / 1_000.0,
        chat.tokenGapMicros().getValueAtPercentile(95) / 1_000.0,
        chat.broken(),
        chat.problems());
  }

  private void printLine(String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }
}
