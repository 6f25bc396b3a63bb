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
 * Use of the entry, from which limits follow.
 *
 * @param accounts use by client account
 * @param retries budget of retries
 * @param latencies estimates by model or service
 * @param reports monotonic time in nanoseconds of the last incident of kinds that may come in large
 *     numbers, by kind and subject
 * @param exclusions budget of tombstones for refused calls
 */
record Usage(
    Map<ClientAccountId, AccountUsage> accounts,
    RetryBudget retries,
    Map<String, LatencyEstimate> latencies,
    Map<String, Long> reports,
    WriteBudget exclusions) {

  static Usage none() {
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

  Usage with(ClientAccountId id, AccountUsage use) {
    return new Usage(accounts.put(id, use), retries, latencies, reports, exclusions);
  }

  Usage with(RetryBudget changed) {
    return new Usage(accounts, changed, latencies, reports, exclusions);
  }

  Usage with(WriteBudget changed) {
    return new Usage(accounts, retries, latencies, reports, changed);
  }

  /** Returns this use after a request took the given time. */
  Usage sampled(String target, long durationNanos, long nowNanos) {
    LatencyEstimate estimate =
        latencies.getOrElse(target, LatencyEstimate.empty()).withSample(durationNanos, nowNanos);
    return new Usage(accounts, retries, latencies.put(target, estimate), reports, exclusions);
  }

  Usage reported(String incident, long nowNanos) {
    return new Usage(accounts, retries, latencies, reports.put(incident, nowNanos), exclusions);
  }

  /** Returns this use without reports from before the given time. */
  Usage withoutReportsBefore(long nanos) {
    return new Usage(
        accounts,
        retries,
        latencies,
        reports.filterValues(reported -> reported - nanos >= 0),
        exclusions);
  }

  /** Returns this use without idle accounts and targets that the configuration lacks. */
  Usage restrictedTo(ClusterConfiguration cluster) {
    return new Usage(
        accounts.filter(
            (id, use) -> use.openRequests() > 0 || cluster.clientAccounts().containsKey(id)),
        retries,
        latencies.filterKeys(
            target ->
                cluster.models().keySet().exists(model -> model.value().equals(target))
                    || cluster.services().keySet().exists(name -> name.value().equals(target))),
        reports,
        exclusions);
  }

  /** Returns the time that a request takes at present in nanoseconds, 0 if it is not known. */
  double expectedNanos(String target, long nowNanos) {
    return latencies.get(target).map(known -> known.expectedNanos(nowNanos)).getOrElse(0.0);
  }
}
