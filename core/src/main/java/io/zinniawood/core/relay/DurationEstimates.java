package io.zinniawood.core.relay;

import io.zinniawood.core.id.ServiceName;
import java.util.HashMap;
import java.util.Map;

/** Corrects the estimated durations of model requests by those that were measured. */
final class DurationEstimates {
  private static final double NEW_SAMPLE_WEIGHT = 0.1;

  /** Bounds one sample, so that a stream that stalled does not distort the average. */
  private static final double MAX_RATIO = 5;

  private final Map<ServiceName, Double> ratios = new HashMap<>();

  /** Returns the duration to expect, in milliseconds, for an estimate of the cost model. */
  double expectedMillis(ServiceName service, double estimateMillis) {
    return estimateMillis * ratios.getOrDefault(service, 1.0);
  }

  /** Records the duration of a whole answer that came from a single attempt. */
  void record(ServiceName service, double estimateMillis, double measuredMillis) {
    if (estimateMillis > 0) {
      double sample = Math.min(MAX_RATIO, measuredMillis / estimateMillis);
      ratios.merge(service, sample, (old, newest) -> old + NEW_SAMPLE_WEIGHT * (newest - old));
    }
  }
}
