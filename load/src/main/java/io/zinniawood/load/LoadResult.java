package io.zinniawood.load;

import java.util.List;

/**
 * Result of a load run.
 *
 * @param plan plan of the run
 * @param elapsedMillis time from the first request to the last answer, in milliseconds
 * @param workloads results in the order of the plan
 * @param timeline tokens and completed requests in each interval
 */
public record LoadResult(
    LoadPlan plan, long elapsedMillis, List<WorkloadResult> workloads, Timeline.Series timeline) {
  /** Returns the tokens received over all workloads. */
  public long tokens() {
    return workloads.stream().mapToLong(WorkloadResult::tokens).sum();
  }

  /** Returns the completed requests over all workloads. */
  public long completed() {
    return workloads.stream().mapToLong(WorkloadResult::completed).sum();
  }

  /** Returns the completed requests that kept their latency limits over all workloads. */
  public long withinObjective() {
    return workloads.stream().mapToLong(WorkloadResult::withinObjective).sum();
  }
}
