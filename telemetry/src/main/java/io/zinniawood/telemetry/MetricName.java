package io.zinniawood.telemetry;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Name of a metric with labels. Dropwizard names are plain text, so the labels are part of the text
 * and are taken out again for Prometheus.
 *
 * @param baseName name without labels
 * @param labels labels in order
 */
public record MetricName(String baseName, List<MetricLabel> labels) {
  private static final char SEPARATOR = '|';

  /** Copies the labels. */
  public MetricName {
    labels = List.copyOf(labels);
  }

  /** Returns a name with labels. */
  public static MetricName of(String base, MetricLabel... labels) {
    return new MetricName(base, List.of(labels));
  }

  /** Returns the name in a Dropwizard registry. */
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

  /** Parses the text of {@link #registryName()}; text without labels is a name without labels. */
  static MetricName parse(String text) {
    String[] parts = text.split("\\|", -1);
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
