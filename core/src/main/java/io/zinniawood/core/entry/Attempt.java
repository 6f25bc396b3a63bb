package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.ClaimRow;

/**
 * Attempt of a service call.
 *
 * @param endpoint endpoint to which the attempt was sent
 * @param incarnation agent incarnation to which the attempt is bound
 * @param origin whether the attempt is the request's own
 * @param counted whether the endpoint's in-flight count includes the attempt
 */
record Attempt(
    AttemptId id,
    EndpointId endpoint,
    Incarnation incarnation,
    AttemptPhase phase,
    AttemptOrigin origin,
    boolean counted) {

  /** Returns the attempt of another request that holds the claim. */
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
