package io.zinniawood.relay.internal;

import io.zinniawood.relay.FailureLog;

/** A periodic task whose failure is logged; an executor would not run it again. */
public final class ContainedTask implements Runnable {
  private final String name;
  private final Runnable task;
  private final FailureLog failures;

  /**
   * Creates a task.
   *
   * @param name name of the task in the log
   */
  public ContainedTask(String name, Runnable task, FailureLog failures) {
    this.name = name;
    this.task = task;
    this.failures = failures;
  }

  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException | Error failure) {
      failures.failed("task-failed", name, failure);
    }
  }
}
