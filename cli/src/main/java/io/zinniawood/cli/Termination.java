package io.zinniawood.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Lets a process finish its work when it is asked to terminate (SIGTERM or Ctrl-C). */
final class Termination {
  private final CountDownLatch requested = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);

  private Termination() {}

  /**
   * Installs the handler. When the process is asked to terminate, {@link #await} returns, and the
   * JVM stays up until {@link #finish} is called or the time is over.
   *
   * @param longestMillis longest time for the work in progress, in milliseconds
   */
  static Termination install(long longestMillis) {
    Termination termination = new Termination();
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> termination.onTermination(longestMillis), "termination"));
    return termination;
  }

  private void onTermination(long longestMillis) {
    requested.countDown();
    try {
      boolean done = finished.await(longestMillis, TimeUnit.MILLISECONDS);
      // Without halt the JVM exits with 143 after SIGTERM, also when the drain was complete.
      Runtime.getRuntime().halt((done ? ExitCode.DONE : ExitCode.FAILED).code());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the process is asked to terminate. */
  void await() throws InterruptedException {
    requested.await();
  }

  /** Lets the JVM exit. */
  void finish() {
    finished.countDown();
  }
}
