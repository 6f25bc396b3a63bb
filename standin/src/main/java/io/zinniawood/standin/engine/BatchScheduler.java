package io.zinniawood.standin.engine;

import io.zinniawood.standin.http.DelayTimer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;

/**
 * Continuous batching: each batch takes the waiting steps of the highest priority and ends after
 * its cost. Steps that arrive meanwhile join the next batch. Batch ends are kept on a virtual clock
 * so that late wake-ups of the scheduler do not add up.
 */
final class BatchScheduler {
  private final DelayTimer timer;
  private final int maxBatchSteps;
  private final int prefillChunkTokens;
  private final PriorityQueue<ScheduledStep> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((ScheduledStep work) -> work.priority)
              .thenComparingLong(work -> work.sequence));
  private final CostModel cost;
  private final LongUnaryOperator costWithFaults;
  private long nextSequence;
  private long busyUntilNanos;
  private boolean running;
  private List<ScheduledStep> currentBatch = List.of();
  private final Consumer<Runnable> completionExecutor;

  /** Gives the cost of a batch in nanoseconds. */
  interface CostModel {
    long costNanos(int decodeTokens, int prefillTokens);
  }

  BatchScheduler(
      DelayTimer timer,
      EngineSettings.Limits limits,
      CostModel cost,
      LongUnaryOperator faultCost,
      Consumer<Runnable> gate) {
    this.timer = timer;
    this.maxBatchSteps = limits.maxBatchSteps();
    this.prefillChunkTokens = Math.max(1, limits.prefillChunkTokens());
    this.cost = cost;
    this.costWithFaults = faultCost;
    this.completionExecutor = gate;
  }

  /** One step that waits for its batch. */
  static final class ScheduledStep {
    private final String session;
    private final int priority;
    private final Runnable execute;
    private final Runnable cancel;
    private int prefillTokens;
    private long sequence;
    private volatile boolean cancelled;

    /**
     * Creates a step.
     *
     * @param session session
     * @param priority 0 for the highest
     * @param prefillTokens prompt tokens to compute; 0 for a decode step
     * @param execute runs the step and delivers its output
     * @param cancel delivers the output of a cancelled step
     */
    ScheduledStep(
        String session, int priority, int prefillTokens, Runnable execute, Runnable cancel) {
      this.session = session;
      this.priority = priority;
      this.prefillTokens = prefillTokens;
      this.execute = execute;
      this.cancel = cancel;
    }
  }

  void submit(List<ScheduledStep> steps) {
    synchronized (this) {
      for (ScheduledStep work : steps) {
        work.sequence = nextSequence++;
        waiting.add(work);
      }
    }
    startBatches();
  }

  /** Cancels the waiting steps of a session and those in the present batch. */
  void cancel(String session) {
    List<ScheduledStep> cancelled = new ArrayList<>();
    synchronized (this) {
      waiting.removeIf(work -> work.session.equals(session) && cancelled.add(work));
      for (ScheduledStep work : currentBatch) {
        work.cancelled |= work.session.equals(session);
      }
    }
    cancelled.forEach(work -> work.cancel.run());
  }

  synchronized int queued() {
    return waiting.size();
  }

  /** Runs batches until none waits or one has a cost; a batch with a cost goes on in the timer. */
  private void startBatches() {
    while (true) {
      List<ScheduledStep> batch;
      long delayNanos;
      synchronized (this) {
        if (running || waiting.isEmpty()) {
          return;
        }
        running = true;
        batch = new ArrayList<>();
        currentBatch = batch;
        long costNanos = costWithFaults.applyAsLong(fillBatch(batch));
        long nowNanos = System.nanoTime();
        if (busyUntilNanos - nowNanos < 0) {
          busyUntilNanos = nowNanos;
        }
        busyUntilNanos += costNanos;
        delayNanos = costNanos == 0 ? 0 : busyUntilNanos - nowNanos;
      }
      if (delayNanos > 0) {
        List<ScheduledStep> finished = batch;
        timer.afterNanos(
            delayNanos,
            () ->
                completionExecutor.accept(
                    () -> {
                      finish(finished);
                      startBatches();
                    }));
        return;
      }
      finish(batch);
    }
  }

  /** Takes the next batch and returns its cost; a long prompt goes back with its remainder. */
  private long fillBatch(List<ScheduledStep> batch) {
    int decodeTokens = 0;
    int prefillTokens = 0;
    List<ScheduledStep> unfinished = new ArrayList<>();
    while (!waiting.isEmpty() && batch.size() + unfinished.size() < maxBatchSteps) {
      ScheduledStep work = waiting.poll();
      int chunk = Math.min(work.prefillTokens, prefillChunkTokens - prefillTokens);
      work.prefillTokens -= chunk;
      prefillTokens += chunk;
      if (work.prefillTokens > 0) {
        unfinished.add(work);
        break;
      }
      decodeTokens += chunk == 0 ? 1 : 0;
      batch.add(work);
    }
    waiting.addAll(unfinished);
    return cost.costNanos(decodeTokens, prefillTokens);
  }

  private void finish(List<ScheduledStep> batch) {
    for (ScheduledStep work : batch) {
      if (work.cancelled) {
        work.cancel.run();
      } else {
        work.execute.run();
      }
    }
    synchronized (this) {
      currentBatch = List.of();
      running = false;
    }
  }
}
