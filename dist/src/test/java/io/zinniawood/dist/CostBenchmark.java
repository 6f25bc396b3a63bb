package io.zinniawood.dist;

import io.zinniawood.load.LatencyLimits;
import io.zinniawood.load.LoadGenerator;
import io.zinniawood.load.LoadPlan;
import io.zinniawood.load.LoadResult;
import io.zinniawood.load.Workload;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Measures the processor time of an entry and an agent per request and per token, and their memory
 * when idle. Entries and agents are separate processes; engines without delay run in this JVM. Each
 * round has one run with short and one with long answers: the difference gives the cost of a token,
 * the remainder the cost of a request.
 */
public final class CostBenchmark {
  private static final int SHORT_TOKENS = 1;
  private static final int LONG_TOKENS = 101;
  private static final double REQUESTS_PER_SECOND = 40;
  private static final long RUN_MILLIS = 6_000;
  private static final long IDLE_MILLIS = 5_000;
  private static final int ROUNDS = 5;
  private static final long SEED = 20_261_204;

  private CostBenchmark() {}

  /** Prints idle use, then minimum, median and maximum of the costs over all rounds. */
  public static void main(String[] arguments) throws InterruptedException {
    PrintStream out = System.out;
    out.printf(
        Locale.ROOT,
        "CostBenchmark: %d rounds, %.0f requests/s, %d and %d tokens, %d ms each, seed %d%n",
        ROUNDS,
        REQUESTS_PER_SECOND,
        SHORT_TOKENS,
        LONG_TOKENS,
        RUN_MILLIS,
        SEED);
    try (ProcessCluster cluster = new ProcessCluster("cost")) {
      cluster.addEngine("a-1", 0, 4);
      cluster.addEngine("b-1", 4, 8);
      cluster.addEntry("entry-1");
      ProcessCluster.Entry entry = cluster.entry("entry-1");
      new Caller().awaitChatReady(entry);
      RoleProcess agent = cluster.endpoint("a-1").agent();
      printIdle(out, entry.process(), agent);
      // Warm-up for the JIT compiler; its result is discarded.
      runLoad(entry, LONG_TOKENS);
      double[][] costs = new double[ROUNDS][];
      for (int round = 0; round < ROUNDS; round++) {
        costs[round] = measureRound(entry, agent);
      }
      printSummary(out, "entry, microseconds for each request", costs, 0);
      printSummary(out, "entry, microseconds for each token", costs, 1);
      printSummary(out, "agent, microseconds for each request", costs, 2);
      printSummary(out, "agent, microseconds for each token", costs, 3);
      out.printf(
          Locale.ROOT,
          "resident after load: entry %.1f MB, agent %.1f MB%n",
          entry.process().usage().residentBytes() / 1e6,
          agent.usage().residentBytes() / 1e6);
    }
  }

  private static void printIdle(PrintStream out, RoleProcess entry, RoleProcess agent)
      throws InterruptedException {
    ProcessUsage entryBefore = entry.usage();
    ProcessUsage agentBefore = agent.usage();
    TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS);
    out.printf(
        Locale.ROOT,
        "at rest: entry %.1f MB and %.2f%% of a core, agent %.1f MB and %.2f%% of a core%n",
        entry.usage().residentBytes() / 1e6,
        (entry.usage().cpuMillis() - entryBefore.cpuMillis()) * 100.0 / IDLE_MILLIS,
        agent.usage().residentBytes() / 1e6,
        (agent.usage().cpuMillis() - agentBefore.cpuMillis()) * 100.0 / IDLE_MILLIS);
  }

  /** Returns microseconds per request and per token of the entry, then of the agent. */
  private static double[] measureRound(ProcessCluster.Entry entry, RoleProcess agent)
      throws InterruptedException {
    CostPerRequest shortCost = measureCost(entry, agent, SHORT_TOKENS);
    CostPerRequest longCost = measureCost(entry, agent, LONG_TOKENS);
    int additionalTokens = LONG_TOKENS - SHORT_TOKENS;
    double entryMicrosPerToken =
        (longCost.entryMicros() - shortCost.entryMicros()) / additionalTokens;
    double agentMicrosPerToken =
        (longCost.agentMicros() - shortCost.agentMicros()) / additionalTokens;
    return new double[] {
      shortCost.entryMicros() - entryMicrosPerToken * SHORT_TOKENS,
      entryMicrosPerToken,
      shortCost.agentMicros() - agentMicrosPerToken * SHORT_TOKENS,
      agentMicrosPerToken
    };
  }

  /** Processor time per completed request, in microseconds. */
  private record CostPerRequest(double entryMicros, double agentMicros) {}

  private static CostPerRequest measureCost(
      ProcessCluster.Entry entry, RoleProcess agent, int tokens) throws InterruptedException {
    ProcessUsage entryBefore = entry.process().usage();
    ProcessUsage agentBefore = agent.usage();
    LoadResult result = runLoad(entry, tokens);
    double completed = result.completed();
    return new CostPerRequest(
        (entry.process().usage().cpuMillis() - entryBefore.cpuMillis()) * 1_000 / completed,
        (agent.usage().cpuMillis() - agentBefore.cpuMillis()) * 1_000 / completed);
  }

  private static LoadResult runLoad(ProcessCluster.Entry entry, int tokens)
      throws InterruptedException {
    Workload chat =
        new Workload(
            "chat",
            ProcessCluster.API_KEY,
            REQUESTS_PER_SECOND,
            new Workload.Call.Chat("assistant", 10, tokens, 30_000));
    return new LoadGenerator(LatencyLimits.forDesignSize())
        .run(new LoadPlan(entry.callersUri(), List.of(chat), RUN_MILLIS, 30_000, SEED));
  }

  private static void printSummary(PrintStream out, String name, double[][] costs, int index) {
    double[] values = Arrays.stream(costs).mapToDouble(cost -> cost[index]).sorted().toArray();
    out.printf(
        Locale.ROOT,
        "%s: minimum %.1f, median %.1f, maximum %.1f%n",
        name,
        values[0],
        values[values.length / 2],
        values[values.length - 1]);
  }
}
