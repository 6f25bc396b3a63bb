package io.zinniawood.telemetry;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Metric name with labels. Dropwizard has no labels, so they are encoded in the name of the metric
 * in the registry and decoded for Prometheus.
 *
 * @param baseName metric name without labels
 * @param labels labels in the order in which they are written
 */
public record MetricName(String baseName, List<MetricLabel> labels) {
  private static final char SEPARATOR = '|';

  /** Makes an immutable copy of the labels. */
  public MetricName {
    labels = List.copyOf(labels);
  }

  /** Returns a name with labels. */
  public static MetricName of(String baseName, MetricLabel... labels) {
    return new MetricName(baseName, List.of(labels));
  }

  /** Returns the name of the metric in a Dropwizard registry. */
  public String registryName() {
    StringBuilder text = new StringBuilder(baseName);
    for (MetricLabel label : labels) {
      text.append(SEPARATOR)
          .append(label.name())
          .append('=')
          .append(URLEncoder.encode(label.value(), StandardCharsets.UTF_8));
    }
    return text.toString();
  }

  /** Parses a {@link #registryName()}; labels are optional. */
  static MetricName parse(String registryName) {
    String[] parts = registryName.split("\\|", -1);
    List<MetricLabel> labels = new ArrayList<>();
    for (int index = 1; index < parts.length; index++) {
      int equals = parts[index].indexOf('=');
      if (equals > 0) {
        labels.add(
            new MetricLabel(
                parts[index].substring(0, equals),
                URLDecoder.decode(parts[index].substring(equals + 1), StandardCharsets.UTF_8)));
      }
    }
    return new MetricName(parts[0], labels);
  }
}
