package io.zinniawood.load;

import java.net.URI;
import java.util.List;
import java.util.Objects;

/**
 * Plan of one load run.
 *
 * @param target base address of the callers' port
 * @param workloads workloads that run at the same time
 * @param durationMillis time during which requests are sent, in milliseconds
 * @param drainMillis time to wait for open requests after the last one was sent, in milliseconds
 * @param seed seed of the arrival times and of the request contents
 */
public record LoadPlan(
    URI target, List<Workload> workloads, long durationMillis, long drainMillis, long seed) {
  /** Checks that there is something to send. */
  public LoadPlan {
    Objects.requireNonNull(target, "target");
    workloads = List.copyOf(workloads);
    if (workloads.isEmpty() || durationMillis <= 0 || drainMillis < 0) {
      throw new IllegalArgumentException("a plan needs a workload and a positive duration");
    }
  }
}
