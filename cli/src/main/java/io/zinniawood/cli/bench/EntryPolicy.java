package io.zinniawood.cli.bench;

import io.zinniawood.cli.local.LocalCluster.EntryFactory;
import io.zinniawood.cli.process.EntryLauncher;

/** Policy of the entries in a scenario. */
enum EntryPolicy {
  /** Decisions of this project. */
  FLOW(EntryLauncher::create),
  /** Round robin with blind retries. */
  NAIVE(
      settings ->
          EntryLauncher.create(settings, 1, new NaiveReducer(), NaiveReducer.initialState()));

  private final EntryFactory factory;

  EntryPolicy(EntryFactory factory) {
    this.factory = factory;
  }

  EntryFactory factory() {
    return factory;
  }
}
