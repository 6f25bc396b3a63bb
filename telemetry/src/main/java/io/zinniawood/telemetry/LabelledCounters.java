package io.zinniawood.telemetry;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counters that share a metric name and differ in their labels. The number of label combinations is
 * limited; further combinations are counted as {@value #OTHER}, so that label values from callers
 * cannot exhaust the memory.
 */
public final class LabelledCounters {
  /** Label value of combinations beyond the limit. */
  public static final String OTHER = "other";

  private final MetricRegistry registry;
  private final String baseName;
  private final List<String> labelNames;
  private final int maxCombinations;
  private final Set<String> knownNames = ConcurrentHashMap.newKeySet();

  /**
   * Creates the counters.
   *
   * @param baseName metric name without labels
   * @param maxCombinations maximum number of label combinations
   */
  public LabelledCounters(
      MetricRegistry registry, String baseName, List<String> labelNames, int maxCombinations) {
    this.registry = registry;
    this.baseName = baseName;
    this.labelNames = List.copyOf(labelNames);
    this.maxCombinations = maxCombinations;
  }

  /** Increments the counter of a label combination; values are in the order of the label names. */
  public void increment(String... values) {
    if (values.length != labelNames.size()) {
      throw new IllegalArgumentException(
          "metric %s has %d labels, but %d values were given"
              .formatted(baseName, labelNames.size(), values.length));
    }
    registry.counter(boundedName(values)).inc();
  }

  private String boundedName(String... values) {
    String name = metricName(values);
    if (knownNames.contains(name)) {
      return name;
    }
    synchronized (knownNames) {
      if (knownNames.size() < maxCombinations) {
        knownNames.add(name);
        return name;
      }
    }
    String[] others = new String[values.length];
    java.util.Arrays.fill(others, OTHER);
    return metricName(others);
  }

  private String metricName(String... values) {
    MetricLabel[] labels = new MetricLabel[values.length];
    for (int index = 0; index < values.length; index++) {
      labels[index] = new MetricLabel(labelNames.get(index), values[index]);
    }
    return MetricName.of(baseName, labels).registryName();
  }
}
