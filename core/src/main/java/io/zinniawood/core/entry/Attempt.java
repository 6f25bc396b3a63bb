package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.ClaimRow;

/**
 * Attempt of a service call.
 *
 * @param id attempt
 * @param endpoint endpoint to which it was sent
 * @param incarnation incarnation to which it is bound
 * @param phase phase
 * @param origin whose attempt it is
 * @param counted whether it counts as work in flight at the endpoint
 */
record Attempt(
    AttemptId id,
    EndpointId endpoint,
    Incarnation incarnation,
    AttemptPhase phase,
    AttemptOrigin origin,
    boolean counted) {

  /** Returns the attempt that holds a claim for another request. */
  static Attempt ofClaimHolder(ClaimRow row) {
    return new Attempt(
        row.attempt(),
        row.owner(),
        row.incarnation(),
        AttemptPhase.RELEASING,
        AttemptOrigin.OTHER_REQUEST,
        false);
  }

  Attempt withPhase(AttemptPhase changed) {
    return new Attempt(id, endpoint, incarnation, changed, origin, counted);
  }

  Attempt uncounted() {
    return new Attempt(id, endpoint, incarnation, phase, origin, false);
  }

  boolean isOwn() {
    return origin == AttemptOrigin.OWN;
  }
}
