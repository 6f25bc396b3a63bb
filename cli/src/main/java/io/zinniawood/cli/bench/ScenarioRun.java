package io.zinniawood.cli.bench;

import io.zinniawood.cli.local.LocalCluster;
import io.zinniawood.load.LatencyLimits;
import io.zinniawood.load.LoadGenerator;
import io.zinniawood.load.LoadPlan;
import io.zinniawood.load.LoadResult;
import io.zinniawood.load.Workload;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** One load run on a newly started cluster of {@link BenchPlan}. */
final class ScenarioRun {
  static final long DEADLINE_MILLIS = 10_000;

  private static final long READY_TIMEOUT_SECONDS = 60;
  private static final long WARM_UP_MILLIS = 4_000;

  private ScenarioRun() {}

  /** Fault that is injected into the cluster while the load runs. */
  @FunctionalInterface
  interface Fault {
    /** Injects the fault; called once, at half of the run time. */
    void apply(LocalCluster cluster);
  }

  /** Starts a cluster with a policy, warms it up at half the rate, and runs the load. */
  static LoadResult run(
      EntryPolicy policy, double requestsPerSecond, long durationMillis, long seed, Fault fault)
      throws InterruptedException {
    try (LocalCluster cluster = LocalCluster.start(BenchPlan.plan(), policy.factory())) {
      awaitReady(cluster);
      runLoad(cluster, requestsPerSecond / 2, WARM_UP_MILLIS, seed + 1_000);
      Thread injector = new Thread(() -> applyAtHalfTime(cluster, fault, durationMillis), "fault");
      injector.setDaemon(true);
      injector.start();
      LoadResult result = runLoad(cluster, requestsPerSecond, durationMillis, seed);
      injector.join();
      return result;
    }
  }

  private static void applyAtHalfTime(LocalCluster cluster, Fault fault, long durationMillis) {
    try {
      TimeUnit.MILLISECONDS.sleep(durationMillis / 2);
      fault.apply(cluster);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static LoadResult runLoad(
      LocalCluster cluster, double requestsPerSecond, long durationMillis, long seed)
      throws InterruptedException {
    Workload chat =
        new Workload(
            "chat",
            BenchPlan.API_KEY,
            requestsPerSecond,
            new Workload.Call.Chat(
                "assistant", BenchPlan.PROMPT_WORDS, BenchPlan.MAX_TOKENS, DEADLINE_MILLIS));
    LoadPlan plan =
        new LoadPlan(
            cluster.callersUri(0), List.of(chat), durationMillis, DEADLINE_MILLIS + 2_000, seed);
    return new LoadGenerator(LatencyLimits.forDesignSize()).run(plan);
  }

  private static void awaitReady(LocalCluster cluster) throws InterruptedException {
    OkHttpClient client = new OkHttpClient();
    String body =
        """
        {"model": "assistant", "max_tokens": 1,
         "messages": [{"role": "user", "content": "ready?"}]}
        """;
    Request request =
        new Request.Builder()
            .url(cluster.callersUri(0).resolve("/v1/chat/completions").toString())
            .header("Authorization", "Bearer " + BenchPlan.API_KEY)
            .post(RequestBody.create(body, MediaType.get("application/json")))
            .build();
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (System.nanoTime() < endNanos) {
      try (Response response = client.newCall(request).execute()) {
        if (response.isSuccessful()) {
          return;
        }
      } catch (IOException notListening) {
        // The entry may not listen yet.
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    throw new IllegalStateException(
        "no chat request to the local cluster succeeded within " + READY_TIMEOUT_SECONDS + " s");
  }
}
