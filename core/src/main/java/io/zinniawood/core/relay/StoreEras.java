package io.zinniawood.core.relay;

import io.zinniawood.core.id.StoreEra;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the era of the store, which rises each time the store comes back from a copy. What was
 * read in a former era is read again whole, and late answers of a former era are ignored.
 */
final class StoreEras {
  /** Time after which an era that went down is taken over; answers are not late for so long. */
  private static final long LOWER_ERA_NANOS = TimeUnit.SECONDS.toNanos(3);

  private StoreEras() {}

  /** Returns whether the store may have come back from a copy since the system first started. */
  static boolean perhapsRestored(RelayTurn turn) {
    RelayState state = turn.state;
    return state.storeEraChanged
        || (state.storeEra.isLaterThan(StoreEra.UNNAMED) && !state.parameters.firstStart());
  }

  /**
   * Records the era of an answer of the store.
   *
   * @return whether the answer is of the present era; if not, it must be ignored
   */
  static boolean accepts(RelayTurn turn, StoreEra era) {
    RelayState state = turn.state;
    if (!state.storeEraKnown) {
      state.storeEraKnown = true;
      state.storeEra = era;
      state.storeEraSeenNanos = turn.nowNanos;
      return true;
    }
    if (era.equals(state.storeEra)) {
      state.lowerEraSinceNanos = Optional.empty();
      return true;
    }
    if (!era.isLaterThan(state.storeEra) && !lowerForLong(turn)) {
      state.ignoredLog.log(
          turn, "store-answer-ignored", "era", era.value(), "known", state.storeEra.value());
      return false;
    }
    change(turn, era);
    return true;
  }

  private static boolean lowerForLong(RelayTurn turn) {
    RelayState state = turn.state;
    if (state.lowerEraSinceNanos.isEmpty()) {
      state.lowerEraSinceNanos = Optional.of(turn.nowNanos);
    }
    return turn.nowNanos - state.lowerEraSinceNanos.get() >= LOWER_ERA_NANOS;
  }

  private static void change(RelayTurn turn, StoreEra era) {
    RelayState state = turn.state;
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
    state.storeEra = era;
    state.storeEraChanged = true;
    state.storeEraSeenNanos = turn.nowNanos;
    state.lowerEraSinceNanos = Optional.empty();
    state.storeClock.restart();
    state.endpointsVersion = Optional.empty();
    state.endpointReads.invalidate();
    state.routesStoreVersion = Optional.empty();
    state.routeReads.invalidate();
    ControllerLease.eraChanged(turn);
  }
}
