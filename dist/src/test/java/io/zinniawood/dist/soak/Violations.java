package io.zinniawood.dist.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Thread-safe list of the violated guarantees that a run has found. */
final class Violations {
  private final List<String> violations = new CopyOnWriteArrayList<>();

  void add(String violation) {
    violations.add(violation);
  }

  void check(boolean holds, String violation) {
    if (!holds) {
      add(violation);
    }
  }

  List<String> all() {
    return List.copyOf(violations);
  }
}
