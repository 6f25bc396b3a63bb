package io.zinniawood.dist.soak;

import io.zinniawood.dist.soak.SoakCluster.Relay;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Runs the soak for a range of seeds: {@code benchmark.sh soak.RelaySoak FIRST-SEED LAST-SEED}.
 * Both seeds are included.
 */
public final class RelaySoak {
  private static final long START_TIMEOUT_SECONDS = 120;
  private static final long FAULT_PHASE_SECONDS = 10;

  /** The platform's limit for recovery: all relays serve again within 12 s of the last fault. */
  private static final long RECOVERY_SECONDS = 12;

  /** Interval between checks for relay processes that have exited. */
  private static final long RESTART_CHECK_MILLIS = 300;

  private static final int CALLER_TASKS = 12;
  private static final int ANSWER_FAULTS_PER_FAULT = 6;
  private static final int KEPT_CALLER_TASKS = 6;
  private static final int MAX_CALL_GAP_MILLIS = 40;
  private static final int MAX_FAULT_GAP_MILLIS = 500;

  /** Covers the longest fault and the drain of a relay that the last fault terminated. */
  private static final long MAX_FAULT_AND_DRAIN_MILLIS = 9_000;

  /** Part of the wait for drains in which answers still have faults, while all relays start. */
  private static final long ANSWER_FAULT_PHASE_MILLIS = 5_500;

  private static final int MAX_ANSWER_FAULT_GAP_MILLIS = 75;

  private RelaySoak() {}

  /** Runs the seeds of the arguments; the exit code is 1 if a run found a violation. */
  public static void main(String[] args) throws Exception {
    runSeeds(args, faults -> {});
  }

  /**
   * Runs the seeds from the first to the last argument and exits with code 1 if a run found a
   * violation, with 0 otherwise.
   *
   * @param besideEachFault starts further faults beside each one
   */
  static void runSeeds(String[] args, Consumer<SoakFaults> besideEachFault) throws Exception {
    PrintStream output = System.out;
    int failures = 0;
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      List<String> violations = runSeed(seed, RECOVERY_SECONDS, besideEachFault);
      output.println("seed " + seed + ": " + (violations.isEmpty() ? "no violations" : violations));
      failures += violations.isEmpty() ? 0 : 1;
    }
    output.println(failures + " seeds with violations");
    System.exit(failures == 0 ? 0 : 1);
  }

  /**
   * Runs the soak with one seed and returns the violations that it found.
   *
   * @param seed seed of the random faults and requests
   * @param recoverySeconds time within which all relays must serve after the last fault, in seconds
   * @param besideEachFault starts further faults beside each one
   */
  static List<String> runSeed(long seed, long recoverySeconds, Consumer<SoakFaults> besideEachFault)
      throws IOException, InterruptedException {
    Violations violations = new Violations();
    ScheduledExecutorService timers =
        Executors.newScheduledThreadPool(CALLER_TASKS + KEPT_CALLER_TASKS + 20);
    try (SoakCluster cluster = new SoakCluster(violations, seed);
        SoakCaller caller = new SoakCaller(cluster, violations)) {
      violations.check(
          await(START_TIMEOUT_SECONDS, () -> allRelaysServe(cluster, caller)),
          "not all relays serve within %d s after the start".formatted(START_TIMEOUT_SECONDS));
      for (int number = 0; number < CALLER_TASKS; number++) {
        Random random = new Random(seed * 1_000 + number);
        timers.execute(() -> callUntilShutdown(timers, cluster, caller, random));
      }
      for (int number = 0; number < KEPT_CALLER_TASKS; number++) {
        Random random = new Random(~(seed * 1_000 + number));
        timers.execute(() -> callOnKeptConnections(timers, cluster, caller, random));
      }
      for (Relay relay : cluster.relays) {
        timers.scheduleWithFixedDelay(
            relay::restartIfEnded,
            RESTART_CHECK_MILLIS,
            RESTART_CHECK_MILLIS,
            TimeUnit.MILLISECONDS);
      }
      SoakFaults faults =
          new SoakFaults(
              cluster,
              new Random(seed),
              new Random(-seed),
              new SoakCrowds(cluster, violations, new Random(seed + 1)),
              timers);
      Random gaps = new Random(~seed);
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FAULT_PHASE_SECONDS);
      while (System.nanoTime() - endNanos < 0) {
        faults.startRandomFault();
        besideEachFault.accept(faults);
        for (int number = 0; number < ANSWER_FAULTS_PER_FAULT; number++) {
          faults.startAnswerFault();
        }
        TimeUnit.MILLISECONDS.sleep(gaps.nextInt(MAX_FAULT_GAP_MILLIS));
      }
      startAnswerFaults(faults, gaps);
      TimeUnit.MILLISECONDS.sleep(MAX_FAULT_AND_DRAIN_MILLIS - ANSWER_FAULT_PHASE_MILLIS);
      violations.check(
          await(recoverySeconds, () -> allRelaysServe(cluster, caller)),
          "not all relays serve within %d s after the last fault".formatted(recoverySeconds));
      timers.shutdownNow();
      timers.awaitTermination(RECOVERY_SECONDS, TimeUnit.SECONDS);
      caller.checkRuns();
      System.out.println(
          "seed %d: %d requests, %d complete answers of endpoints with a ledger"
              .formatted(seed, caller.sentRequests(), caller.recordedAnswers()));
      violations.check(caller.sentRequests() > 0, "no request was sent");
    } finally {
      timers.shutdownNow();
    }
    return violations.all();
  }

  private static void startAnswerFaults(SoakFaults faults, Random gaps)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWER_FAULT_PHASE_MILLIS);
    while (System.nanoTime() - endNanos < 0) {
      faults.startAnswerFault();
      TimeUnit.MILLISECONDS.sleep(gaps.nextInt(MAX_ANSWER_FAULT_GAP_MILLIS));
    }
  }

  private static void callUntilShutdown(
      ScheduledExecutorService timers, SoakCluster cluster, SoakCaller caller, Random random) {
    while (!timers.isShutdown()) {
      Relay relay = cluster.relays.get(random.nextInt(cluster.relays.size()));
      // One call in four uses the previous key, as callers do that have not switched yet.
      int key = cluster.routesVersion() - (random.nextInt(4) == 0 ? 1 : 0);
      caller.call(relay, SoakRequest.random(random), key);
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_CALL_GAP_MILLIS));
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void callOnKeptConnections(
      ScheduledExecutorService timers, SoakCluster cluster, SoakCaller answers, Random random) {
    KeptCaller caller = new KeptCaller(answers);
    try {
      while (!timers.isShutdown()) {
        Relay relay = cluster.relays.get(random.nextInt(cluster.relays.size()));
        caller.call(relay, SoakRequest.random(random), cluster.routesVersion());
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_CALL_GAP_MILLIS));
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    } finally {
      caller.close();
    }
  }

  private static boolean allRelaysServe(SoakCluster cluster, SoakCaller caller) {
    for (Relay relay : cluster.relays) {
      for (SoakCaller.RequestKind kind : SoakCaller.RequestKind.values()) {
        if (caller.call(relay, SoakRequest.post(kind), cluster.routesVersion()) != 200) {
          return false;
        }
      }
    }
    return true;
  }

  private static boolean await(long seconds, BooleanSupplier condition)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - endNanos > 0) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    return true;
  }
}
