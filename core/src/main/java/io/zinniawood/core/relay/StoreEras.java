package io.zinniawood.core.relay;

import io.zinniawood.core.id.StoreEra;

/** Tracks the era of the store, which rises each time the store comes back from a copy. */
final class StoreEras {
  private StoreEras() {}

  /** Records the era of an answer of the store and logs a change. */
  static void observe(RelayTurn turn, StoreEra era) {
    RelayState state = turn.state;
    if (state.storeEraKnown && !era.equals(state.storeEra)) {
      turn.log(
          "store-era-changed",
          "era",
          era.value(),
          "before",
          state.storeEra.value(),
          "routesVersion",
          state.routesVersion(),
          "endpointsVersion",
          state.endpointsVersion.map(Object::toString).orElse("none"));
    }
    state.storeEraKnown = true;
    state.storeEra = era;
  }
}
