package io.zinniawood.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/**
 * Open-loop load generator: sends requests at planned times, even if earlier ones are still open.
 * Latency is measured from the intended send time, so that the results include the time for which a
 * stalled system delays requests (no coordinated omission).
 */
public final class LoadGenerator {
  private static final int MAX_OPEN_REQUESTS = 4_000;
  private static final long TIMELINE_INTERVAL_MILLIS = 100;

  private final LatencyLimits limits;

  /** Creates a generator that counts the responses within the given limits. */
  public LoadGenerator(LatencyLimits limits) {
    this.limits = limits;
  }

  /** Runs a plan and returns its result; blocks until all requests have ended or are cancelled. */
  public LoadResult run(LoadPlan plan) throws InterruptedException {
    OkHttpClient client = client();
    long startNanos = System.nanoTime();
    Timeline timeline =
        new Timeline(
            startNanos, TIMELINE_INTERVAL_MILLIS, plan.durationMillis() + plan.drainMillis());
    Phaser openRequests = new Phaser(1);
    List<WorkloadRecorder> recorders = new ArrayList<>();
    List<Thread> senders = new ArrayList<>();
    long seed = plan.seed();
    for (Workload workload : plan.workloads()) {
      WorkloadRecorder recorder = new WorkloadRecorder(workload.name(), limits, timeline);
      RequestSender sender =
          new RequestSender(client, plan.target(), workload, recorder, openRequests, seed);
      PoissonArrivals arrivals = new PoissonArrivals(workload.requestsPerSecond(), seed);
      Thread thread =
          new Thread(
              () -> sendAll(sender, arrivals, startNanos, plan.durationMillis()),
              "load-" + workload.name());
      recorders.add(recorder);
      senders.add(thread);
      seed++;
    }
    senders.forEach(Thread::start);
    for (Thread sender : senders) {
      sender.join();
    }
    awaitOpenRequests(openRequests, plan.drainMillis());
    client.dispatcher().cancelAll();
    long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
    List<WorkloadResult> results = recorders.stream().map(WorkloadRecorder::result).toList();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
    return new LoadResult(plan, elapsedMillis, results, timeline.series());
  }

  private static OkHttpClient client() {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAX_OPEN_REQUESTS);
    dispatcher.setMaxRequestsPerHost(MAX_OPEN_REQUESTS);
    return new OkHttpClient.Builder()
        .dispatcher(dispatcher)
        .connectionPool(new ConnectionPool(MAX_OPEN_REQUESTS, 1, TimeUnit.MINUTES))
        .retryOnConnectionFailure(false)
        .connectTimeout(2, TimeUnit.SECONDS)
        .readTimeout(2, TimeUnit.MINUTES)
        .build();
  }

  private static void sendAll(
      RequestSender sender, PoissonArrivals arrivals, long startNanos, long durationMillis) {
    long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis);
    long intendedSendNanos = startNanos + arrivals.nextGapNanos();
    while (intendedSendNanos < endNanos) {
      long waitNanos = intendedSendNanos - System.nanoTime();
      if (waitNanos > 0) {
        LockSupport.parkNanos(waitNanos);
        if (Thread.currentThread().isInterrupted()) {
          return;
        }
        continue;
      }
      sender.send(intendedSendNanos);
      intendedSendNanos += arrivals.nextGapNanos();
    }
  }

  private static void awaitOpenRequests(Phaser openRequests, long drainMillis)
      throws InterruptedException {
    try {
      openRequests.awaitAdvanceInterruptibly(
          openRequests.arrive(), drainMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException stillOpen) {
      // The caller cancels the remaining requests, which count as broken.
      openRequests.forceTermination();
    }
  }
}
