package io.zinniawood.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Current faults of an engine, and the tasks that are deferred while it is frozen. */
final class FaultState {
  private EngineFaults faults = EngineFaults.none();
  private final List<Runnable> deferredTasks = new ArrayList<>();

  synchronized EngineFaults current() {
    return faults;
  }

  void set(EngineFaults newFaults) {
    List<Runnable> released = List.of();
    synchronized (this) {
      faults = newFaults;
      if (!newFaults.frozen()) {
        released = List.copyOf(deferredTasks);
        deferredTasks.clear();
      }
    }
    released.forEach(Runnable::run);
  }

  /** Runs the task at once, or when the engine is no longer frozen. */
  void runWhenNotFrozen(Runnable task) {
    synchronized (this) {
      if (faults.frozen()) {
        deferredTasks.add(task);
        return;
      }
    }
    task.run();
  }

  synchronized boolean consumeStepFailure() {
    if (faults.failNextSteps() <= 0) {
      return false;
    }
    faults = faults.withFailNextSteps(faults.failNextSteps() - 1);
    return true;
  }

  synchronized boolean consumeLostResponse() {
    if (faults.loseResponses() > 0) {
      faults = faults.withLoseResponses(faults.loseResponses() - 1);
      return true;
    }
    return faults.loseResponses() < 0;
  }
}
