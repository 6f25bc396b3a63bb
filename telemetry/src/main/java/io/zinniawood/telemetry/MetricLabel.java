package io.zinniawood.telemetry;

import java.util.Objects;

/**
 * Label of a metric.
 *
 * @param name name, letters and underscores
 * @param value value, any text
 */
public record MetricLabel(String name, String value) {
  /** Checks the name. */
  public MetricLabel {
    Objects.requireNonNull(value, "value");
    if (!name.matches("[a-z_]+")) {
      throw new IllegalArgumentException("label name '%s' must match [a-z_]+".formatted(name));
    }
  }
}
