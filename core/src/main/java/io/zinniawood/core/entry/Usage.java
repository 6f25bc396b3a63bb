package io.zinniawood.core.entry;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.zinniawood.core.configuration.ClusterConfiguration;
import io.zinniawood.core.entry.limits.AccountUsage;
import io.zinniawood.core.entry.limits.LatencyEstimate;
import io.zinniawood.core.entry.limits.RetryBudget;
import io.zinniawood.core.entry.limits.WriteBudget;
import io.zinniawood.core.id.ClientAccountId;

/**
 * Counts, budgets and estimates of the entry's work, on which its limits are based.
 *
 * @param accounts usage by client account
 * @param retries retry budget
 * @param latencies latency estimates by name of the model or service
 * @param incidentTimesNanos monotonic time in nanoseconds of the last incident by kind and subject,
 *     for kinds that may occur in large numbers
 * @param tombstoneWrites budget of table writes for tombstones of refused calls and for polls of
 *     claim rows
 */
record Usage(
    Map<ClientAccountId, AccountUsage> accounts,
    RetryBudget retries,
    Map<String, LatencyEstimate> latencies,
    Map<String, Long> incidentTimesNanos,
    WriteBudget tombstoneWrites) {

  static Usage initial() {
    return new Usage(
        HashMap.empty(),
        RetryBudget.initial(),
        HashMap.empty(),
        HashMap.empty(),
        WriteBudget.initial());
  }

  AccountUsage account(ClientAccountId id, double burst, long nowNanos) {
    return accounts.get(id).getOrElse(() -> AccountUsage.initial(burst, nowNanos));
  }

  Usage with(ClientAccountId id, AccountUsage usage) {
    return new Usage(
        accounts.put(id, usage), retries, latencies, incidentTimesNanos, tombstoneWrites);
  }

  Usage with(RetryBudget changed) {
    return new Usage(accounts, changed, latencies, incidentTimesNanos, tombstoneWrites);
  }

  Usage with(WriteBudget changed) {
    return new Usage(accounts, retries, latencies, incidentTimesNanos, changed);
  }

  /** Returns this usage with the duration of a request added to the latency estimate. */
  Usage withDurationSample(String target, long durationNanos, long nowNanos) {
    LatencyEstimate estimate =
        latencies.getOrElse(target, LatencyEstimate.empty()).withSample(durationNanos, nowNanos);
    return new Usage(
        accounts, retries, latencies.put(target, estimate), incidentTimesNanos, tombstoneWrites);
  }

  Usage withIncident(String incident, long nowNanos) {
    return new Usage(
        accounts, retries, latencies, incidentTimesNanos.put(incident, nowNanos), tombstoneWrites);
  }

  /** Returns this usage without incidents from before the given time. */
  Usage withoutIncidentsBefore(long nanos) {
    return new Usage(
        accounts,
        retries,
        latencies,
        incidentTimesNanos.filterValues(reported -> reported - nanos >= 0),
        tombstoneWrites);
  }

  /** Returns this usage without idle accounts and targets that are not configured. */
  Usage restrictedTo(ClusterConfiguration cluster) {
    return new Usage(
        accounts.filter(
            (id, usage) -> usage.openRequests() > 0 || cluster.clientAccounts().containsKey(id)),
        retries,
        latencies.filterKeys(
            target ->
                cluster.models().keySet().exists(model -> model.value().equals(target))
                    || cluster.services().keySet().exists(name -> name.value().equals(target))),
        incidentTimesNanos,
        tombstoneWrites);
  }

  /** Returns the expected duration of a request in nanoseconds, 0 if there is no estimate. */
  double expectedNanos(String target, long nowNanos) {
    return latencies.get(target).map(known -> known.expectedNanos(nowNanos)).getOrElse(0.0);
  }
}
