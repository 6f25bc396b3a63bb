package io.zinniawood.core.entry;

import io.zinniawood.core.entry.limits.ConcurrencyLimit;
import io.zinniawood.core.entry.membership.Health;
import io.zinniawood.core.entry.membership.Member;
import io.zinniawood.core.entry.membership.Workload;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.model.LoadReport;

/**
 * Updates the health and the adaptive concurrency limit of endpoints from the results of their
 * work.
 */
final class EndpointHealthTracker {
  private EndpointHealthTracker() {}

  /**
   * Records a success. Lowers the limit if the agent reports more queued work than its concurrency
   * limit, as new work would then wait for a whole service time.
   */
  static void recordSuccess(Turn turn, EndpointId endpoint) {
    turn.updateMember(
        endpoint,
        member -> {
          Workload work = member.workload();
          LoadReport load = member.announced().load();
          ConcurrencyLimit limit =
              load.queued() > load.concurrencyLimit()
                  ? work.limit().afterOverload(turn.nowNanos())
                  : work.limit().afterSuccess(work.inFlight());
          Member limited = member.with(work.withLimit(limit));
          return member.health().equals(Health.GOOD) ? limited : limited.with(Health.GOOD);
        });
  }

  /** Lowers the limit of an endpoint that refused work because of overload. */
  static void recordOverload(Turn turn, EndpointId endpoint) {
    turn.updateMember(
        endpoint,
        member ->
            member.with(
                member
                    .workload()
                    .withLimit(member.workload().limit().afterOverload(turn.nowNanos()))));
  }

  /** Records a failure and ejects the endpoint if it fails repeatedly. */
  static void recordFailure(Turn turn, EndpointId endpoint) {
    recordOverload(turn, endpoint);
    for (Member member : turn.fleet().member(endpoint)) {
      Health health = member.health().withFailure();
      boolean repeatedly = health.consecutiveFailures() >= Health.FAILURES_BEFORE_EJECTION;
      boolean eject = repeatedly && mayEject(turn, member);
      turn.updateMember(
          endpoint, known -> known.with(eject ? health.ejectedFrom(turn.nowNanos()) : health));
      if (repeatedly) {
        turn.recordIncidentOnce(
            IncidentKind.ENDPOINT_LOST,
            endpoint.value(),
            eject
                ? "ejected temporarily after %d consecutive failures"
                    .formatted(health.consecutiveFailures())
                : "fails repeatedly, but its pool has reached the maximum ejected share");
      }
    }
  }

  /**
   * Tells whether an ejection stays within the configured share of the pool, so that the other
   * endpoints are not overloaded.
   */
  private static boolean mayEject(Turn turn, Member member) {
    var pool =
        turn.fleet()
            .members()
            .values()
            .filter(
                other ->
                    other.connected()
                        && other.placement().pool().equals(member.placement().pool()));
    int ejected =
        pool.count(
            other ->
                other.health().ejected(turn.nowNanos())
                    && !other.endpoint().equals(member.endpoint()));
    return ejected + 1 <= pool.size() * turn.cluster().routing().maxEjectedShare();
  }
}
