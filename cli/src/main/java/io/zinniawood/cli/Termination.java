package io.zinniawood.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Shutdown hook that delays the exit after SIGTERM or Ctrl-C until the work is finished. */
final class Termination {
  private final CountDownLatch requested = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);
  private volatile ExitCode result = ExitCode.DONE;
  private volatile long timeoutMillis;

  private Termination(long timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Installs the shutdown hook. On termination {@link #await} returns, and the JVM is halted once
   * {@link #finish} is called, or with {@link ExitCode#FAILED} when the timeout expires.
   *
   * @param timeoutMillis longest time for the work in progress, in milliseconds
   */
  static Termination install(long timeoutMillis) {
    Termination termination = new Termination(timeoutMillis);
    Runtime.getRuntime().addShutdownHook(new Thread(termination::onTermination, "termination"));
    return termination;
  }

  private void onTermination() {
    requested.countDown();
    try {
      boolean finishedInTime = finished.await(timeoutMillis, TimeUnit.MILLISECONDS);
      // Without halt the JVM exits with 143 after SIGTERM, even after a complete drain.
      Runtime.getRuntime().halt((finishedInTime ? result : ExitCode.FAILED).code());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sets the longest time for the work in progress, in milliseconds. */
  void limitTo(long millis) {
    timeoutMillis = millis;
  }

  /** Returns whether SIGTERM or Ctrl-C was received. */
  boolean requested() {
    return requested.getCount() == 0;
  }

  /** Blocks until SIGTERM or Ctrl-C. */
  void await() throws InterruptedException {
    requested.await();
  }

  /** Signals that the work is finished with a failure, so that the JVM may exit. */
  void finish(ExitCode failure) {
    result = failure;
    finish();
  }

  /** Signals that the work is finished, so that the JVM may exit. */
  void finish() {
    finished.countDown();
  }
}
