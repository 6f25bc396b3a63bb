package io.zinniawood.core.entry;

import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Incarnation;

/**
 * Attempt of a service call.
 *
 * @param id attempt
 * @param endpoint endpoint to which it was sent
 * @param incarnation incarnation to which it is bound
 * @param phase phase
 * @param owned whether this entry created the attempt; an attempt of another entry's request is
 *     joined to get its answer and must not be cancelled
 * @param sentNanos monotonic time at which it was sent, in nanoseconds
 */
record Attempt(
    AttemptId id,
    EndpointId endpoint,
    Incarnation incarnation,
    AttemptPhase phase,
    boolean owned,
    long sentNanos) {

  Attempt withPhase(AttemptPhase changed) {
    return new Attempt(id, endpoint, incarnation, changed, owned, sentNanos);
  }
}
