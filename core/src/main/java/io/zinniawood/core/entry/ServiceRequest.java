package io.zinniawood.core.entry;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.ClaimKey;
import io.zinniawood.core.model.Idempotency;
import io.zinniawood.core.model.Problem;

/**
 * Open call of a plain service.
 *
 * @param arrival the request
 * @param arrivedNanos monotonic time of its arrival in nanoseconds
 * @param attempts attempts so far
 * @param triedAttempts ids of these attempts
 * @param current attempt whose result is awaited
 * @param fence fence for the next attempt
 * @param avoid endpoints that refused or failed this request
 * @param mayHaveRun whether an attempt was given up that may have run
 * @param refusal problem with which the call is refused once its key is ruled out
 */
record ServiceRequest(
    EntryEvent.ServiceRequestArrived arrival,
    long arrivedNanos,
    int attempts,
    Set<AttemptId> triedAttempts,
    Option<Attempt> current,
    Fence fence,
    Set<EndpointId> avoid,
    boolean mayHaveRun,
    Option<Problem> refusal)
    implements OpenRequest {

  static ServiceRequest create(EntryEvent.ServiceRequestArrived arrival, long nowNanos) {
    return new ServiceRequest(
        arrival,
        nowNanos,
        0,
        HashSet.empty(),
        Option.none(),
        new Fence(0),
        HashSet.empty(),
        false,
        Option.none());
  }

  RequestId id() {
    return arrival.request();
  }

  boolean isIdempotent() {
    return arrival.idempotency() == Idempotency.IDEMPOTENT;
  }

  /** Tells whether a claim row decides about this call. */
  boolean usesClaim() {
    return !isIdempotent() && arrival.key().isDefined();
  }

  ClaimKey claimKey() {
    return new ClaimKey(arrival.clientAccount(), arrival.service(), arrival.key().get());
  }

  /** Tells whether an attempt ran or may still run. */
  boolean mayHaveStarted() {
    return mayHaveRun || current.isDefined();
  }

  /** Returns this request with a new attempt in flight. */
  ServiceRequest withAttempt(Attempt attempt) {
    return new ServiceRequest(
        arrival,
        arrivedNanos,
        attempts + 1,
        triedAttempts.add(attempt.id()),
        Option.some(attempt),
        fence,
        avoid,
        mayHaveRun,
        refusal);
  }

  /** Tells whether an attempt is one of this request. */
  boolean hasTried(AttemptId attempt) {
    return triedAttempts.contains(attempt);
  }

  ServiceRequest withCurrent(Attempt attempt) {
    return new ServiceRequest(
        arrival,
        arrivedNanos,
        attempts,
        triedAttempts,
        Option.some(attempt),
        fence,
        avoid,
        mayHaveRun,
        refusal);
  }

  ServiceRequest withoutCurrent() {
    return new ServiceRequest(
        arrival,
        arrivedNanos,
        attempts,
        triedAttempts,
        Option.none(),
        fence,
        avoid,
        mayHaveRun,
        refusal);
  }

  /** Returns this request with the problem that ends it once its key is ruled out. */
  ServiceRequest withRefusal(Problem problem) {
    return new ServiceRequest(
        arrival,
        arrivedNanos,
        attempts,
        triedAttempts,
        current,
        fence,
        avoid,
        mayHaveRun,
        Option.some(problem));
  }

  /** Returns this request after its attempt certainly did not start and never will. */
  ServiceRequest afterNotStarted(Fence nextFence) {
    return new ServiceRequest(
        arrival,
        arrivedNanos,
        attempts,
        triedAttempts,
        Option.none(),
        nextFence,
        avoidWithCurrent(),
        mayHaveRun,
        refusal);
  }

  /** Returns this request after its attempt was refused for its fence alone. */
  ServiceRequest withFence(Fence nextFence) {
    return new ServiceRequest(
        arrival,
        arrivedNanos,
        attempts,
        triedAttempts,
        Option.none(),
        nextFence,
        avoid,
        mayHaveRun,
        refusal);
  }

  /** Returns this request after its attempt was given up although it may run. */
  ServiceRequest afterAbandoned() {
    return new ServiceRequest(
        arrival,
        arrivedNanos,
        attempts,
        triedAttempts,
        Option.none(),
        fence,
        avoidWithCurrent(),
        true,
        refusal);
  }

  private Set<EndpointId> avoidWithCurrent() {
    return current.filter(Attempt::isOwn).map(a -> avoid.add(a.endpoint())).getOrElse(avoid);
  }
}
