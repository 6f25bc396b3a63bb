package io.zinniawood.standin.engine;

import io.zinniawood.standin.http.DelayTimer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;

/**
 * Simulates continuous batching: each batch takes the waiting steps of the highest priority and
 * completes after its cost. Steps that arrive meanwhile wait for a later batch. A virtual clock
 * holds the scheduled end of the latest batch; it is set to the current time when it lies behind.
 */
final class BatchScheduler {
  private final DelayTimer timer;
  private final int maxBatchSteps;
  private final int prefillChunkTokens;
  private final PriorityQueue<ScheduledStep> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((ScheduledStep step) -> step.priority)
              .thenComparingLong(step -> step.sequence));
  private final CostModel cost;
  private final LongUnaryOperator costWithFaults;
  private long nextSequence;
  private long busyUntilNanos;
  private boolean running;
  private List<ScheduledStep> currentBatch = List.of();
  private final Consumer<Runnable> completionExecutor;

  /** Computes the cost of a batch, that is, its simulated duration in nanoseconds. */
  interface CostModel {
    long costNanos(int decodeTokens, int prefillTokens);
  }

  BatchScheduler(
      DelayTimer timer,
      EngineSettings.Limits limits,
      CostModel cost,
      LongUnaryOperator costWithFaults,
      Consumer<Runnable> completionExecutor) {
    this.timer = timer;
    this.maxBatchSteps = limits.maxBatchSteps();
    this.prefillChunkTokens = Math.max(1, limits.prefillChunkTokens());
    this.cost = cost;
    this.costWithFaults = costWithFaults;
    this.completionExecutor = completionExecutor;
  }

  /** A step that is queued for execution in a batch. */
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
     * @param session id of the session
     * @param priority 0 for the highest
     * @param prefillTokens prompt tokens to compute; 0 for a decode step
     * @param execute runs the step and delivers its output
     * @param cancel delivers the failure of a cancelled step instead
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
      for (ScheduledStep step : steps) {
        step.sequence = nextSequence++;
        waiting.add(step);
      }
    }
    startBatches();
  }

  /** Cancels the waiting steps of a session and those in the current batch. */
  void cancel(String session) {
    List<ScheduledStep> cancelled = new ArrayList<>();
    synchronized (this) {
      waiting.removeIf(step -> step.session.equals(session) && cancelled.add(step));
      for (ScheduledStep step : currentBatch) {
        step.cancelled |= step.session.equals(session);
      }
    }
    cancelled.forEach(step -> step.cancel.run());
  }

  synchronized int queued() {
    return waiting.size();
  }

  /**
   * Runs batches until no step is waiting. A batch without a cost completes at once; one with a
   * cost completes on the timer, which then starts the next batch.
   */
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

  /**
   * Fills the next batch from the queue and returns its cost in nanoseconds. A step whose prompt
   * exceeds the batch's prefill tokens returns to the queue with its remaining tokens.
   */
  private long fillBatch(List<ScheduledStep> batch) {
    int decodeTokens = 0;
    int prefillTokens = 0;
    List<ScheduledStep> unfinished = new ArrayList<>();
    while (!waiting.isEmpty() && batch.size() + unfinished.size() < maxBatchSteps) {
      ScheduledStep step = waiting.poll();
      int chunk = Math.min(step.prefillTokens, prefillChunkTokens - prefillTokens);
      step.prefillTokens -= chunk;
      prefillTokens += chunk;
      if (step.prefillTokens > 0) {
        unfinished.add(step);
        break;
      }
      decodeTokens += chunk == 0 ? 1 : 0;
      batch.add(step);
    }
    waiting.addAll(unfinished);
    return cost.costNanos(decodeTokens, prefillTokens);
  }

  private void finish(List<ScheduledStep> batch) {
    for (ScheduledStep step : batch) {
      if (step.cancelled) {
        step.cancel.run();
      } else {
        step.execute.run();
      }
    }
    synchronized (this) {
      currentBatch = List.of();
      running = false;
    }
  }
}
