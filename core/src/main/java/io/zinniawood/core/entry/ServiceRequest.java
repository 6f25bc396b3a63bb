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
 * @param arrival event with which the call arrived
 * @param arrivedNanos monotonic time of the arrival in nanoseconds
 * @param attempts number of attempts so far
 * @param triedAttempts ids of these attempts
 * @param current attempt whose result is awaited
 * @param fence fence for the next attempt
 * @param avoid endpoints that refused or failed this request
 * @param mayHaveRun whether an abandoned attempt may have run
 * @param refusal problem with which the call is refused once the tombstone for its key is confirmed
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

  /** Tells whether a claim row guards this call: it has a key and is not idempotent. */
  boolean usesClaim() {
    return !isIdempotent() && arrival.key().isDefined();
  }

  ClaimKey claimKey() {
    return new ClaimKey(arrival.clientAccount(), arrival.service(), arrival.key().get());
  }

  /** Tells whether an attempt may have started or may still start. */
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

  /** Tells whether an attempt belongs to this request. */
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

  /**
   * Returns this request with the problem that ends it once the tombstone for its key is confirmed.
   */
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

  /** Returns this request after confirmation that its attempt did not start and never will. */
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

  /**
   * Returns this request with a new fence and without its attempt, whose endpoint is not to be
   * avoided.
   */
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

  /** Returns this request after its attempt was abandoned although it may run. */
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
