package io.zinniawood.telemetry;

import java.util.Objects;

/**
 * Name and value of a metric label.
 *
 * @param name lower-case letters and underscores
 * @param value any text
 */
public record MetricLabel(String name, String value) {
  /** Rejects a name with other characters. */
  public MetricLabel {
    Objects.requireNonNull(value, "value");
    if (!name.matches("[a-z_]+")) {
      throw new IllegalArgumentException("label name '%s' must match [a-z_]+".formatted(name));
    }
  }
}
