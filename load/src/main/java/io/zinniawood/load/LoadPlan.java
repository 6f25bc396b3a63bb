package io.zinniawood.load;

import java.net.URI;
import java.util.List;
import java.util.Objects;

/**
 * Plan of a load run.
 *
 * @param target base address of the HTTP port for callers
 * @param workloads workloads that run concurrently
 * @param durationMillis time during which requests are sent, in milliseconds
 * @param drainMillis time to wait for open requests after the last one was sent, in milliseconds
 * @param seed seed of the arrival times and of the request contents
 */
public record LoadPlan(
    URI target, List<Workload> workloads, long durationMillis, long drainMillis, long seed) {
  /** Checks the durations and that there is at least one workload. */
  public LoadPlan {
    Objects.requireNonNull(target, "target");
    workloads = List.copyOf(workloads);
    if (workloads.isEmpty() || durationMillis <= 0 || drainMillis < 0) {
      throw new IllegalArgumentException(
          "a load plan needs at least one workload, a positive duration and a non-negative drain"
              + " time, found %d workloads, %d ms and %d ms"
                  .formatted(workloads.size(), durationMillis, drainMillis));
    }
  }
}
