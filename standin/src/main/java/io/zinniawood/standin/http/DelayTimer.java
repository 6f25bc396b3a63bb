package io.zinniawood.standin.http;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs tasks after a delay on one daemon thread and logs their failures. */
public final class DelayTimer implements AutoCloseable {
  private static final Logger LOGGER = System.getLogger(DelayTimer.class.getName());
  private final ScheduledThreadPoolExecutor executor;

  /** Creates a timer with a thread of the given name. */
  public DelayTimer(String name) {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /** Runs the task after the delay; drops it if the timer is closed. */
  public void afterNanos(long delayNanos, Runnable task) {
    try {
      Future<?> unused = executor.schedule(() -> runLogged(task), delayNanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      LOGGER.log(Level.DEBUG, "delayed task dropped because the timer is closed");
    }
  }

  /** Runs the task after the delay; drops it if the timer is closed. */
  public void afterMillis(long delayMillis, Runnable task) {
    afterNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis), task);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.log(Level.ERROR, "delayed task failed", e);
    }
  }
}
