package io.zinniawood.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** Present faults of an engine and the work that a freeze holds back. */
final class FaultSwitch {
  private EngineFaults faults = EngineFaults.none();
  private final List<Runnable> held = new ArrayList<>();

  synchronized EngineFaults present() {
    return faults;
  }

  void set(EngineFaults newFaults) {
    List<Runnable> released = List.of();
    synchronized (this) {
      faults = newFaults;
      if (!newFaults.frozen()) {
        released = List.copyOf(held);
        held.clear();
      }
    }
    released.forEach(Runnable::run);
  }

  /** Runs the task now, or when the engine is no longer frozen. */
  void whenThawed(Runnable task) {
    synchronized (this) {
      if (faults.frozen()) {
        held.add(task);
        return;
      }
    }
    task.run();
  }

  synchronized boolean takeStepFailure() {
    if (faults.failNextSteps() <= 0) {
      return false;
    }
    faults = faults.withFailNextSteps(faults.failNextSteps() - 1);
    return true;
  }

  synchronized boolean takeLoss() {
    if (faults.loseResponses() > 0) {
      faults = faults.withLoseResponses(faults.loseResponses() - 1);
      return true;
    }
    return faults.loseResponses() < 0;
  }
}
