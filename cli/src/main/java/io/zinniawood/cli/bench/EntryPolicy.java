package io.zinniawood.cli.bench;

import io.zinniawood.cli.local.LocalCluster.EntryFactory;
import io.zinniawood.cli.process.EntryLauncher;

/** Routing policy of the entries in a scenario. */
enum EntryPolicy {
  /** Routing, admission and recovery of the production entry. */
  FLOW(EntryLauncher::create),
  /** Round robin with a full restart after any failure. */
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
