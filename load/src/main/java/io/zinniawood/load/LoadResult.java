package io.zinniawood.load;

import java.util.List;

/**
 * Result of a load run.
 *
 * @param plan plan of the run
 * @param elapsedMillis time from the start of the run until the last request ended or was
 *     cancelled, in milliseconds
 * @param workloads results in the order of the plan
 * @param timeline counts of tokens and completed requests per interval
 */
public record LoadResult(
    LoadPlan plan, long elapsedMillis, List<WorkloadResult> workloads, Timeline.Series timeline) {
  /** Returns the number of tokens received over all workloads. */
  public long tokens() {
    return workloads.stream().mapToLong(WorkloadResult::tokens).sum();
  }

  /** Returns the number of completed requests over all workloads. */
  public long completed() {
    return workloads.stream().mapToLong(WorkloadResult::completed).sum();
  }

  /** Returns the number of completed requests within the latency limits over all workloads. */
  public long withinObjective() {
    return workloads.stream().mapToLong(WorkloadResult::withinObjective).sum();
  }
}
