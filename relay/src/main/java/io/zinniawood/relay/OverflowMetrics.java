package io.zinniawood.relay;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.overflow.OverflowDecision;
import io.zinniawood.telemetry.MetricLabel;
import io.zinniawood.telemetry.MetricName;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Gauges of the shares of requests that may leave the relay's own data centre. */
final class OverflowMetrics {
  /** Maximum number of gauges; there are few services and data centres. */
  private static final int MAX_GAUGES = 64;

  private final MetricRegistry registry;
  private final Supplier<Map<ServiceName, OverflowDecision>> decisions;
  private final Set<String> registered = new HashSet<>();

  OverflowMetrics(
      MetricRegistry registry,
      Supplier<Map<ServiceName, OverflowDecision>> decisions,
      DoubleSupplier sentBytes) {
    this.registry = registry;
    this.decisions = decisions;
    Gauge<Number> bytes = sentBytes::getAsDouble;
    registry.register("relay_overflow_bytes_total", bytes);
  }

  /** Registers gauges for the data centres that the last decisions name. */
  void update() {
    decisions
        .get()
        .forEach(
            (service, decision) ->
                decision.shares().keySet().forEach(centre -> register(service, centre)));
  }

  private void register(ServiceName service, DataCentreId centre) {
    String name =
        MetricName.of(
                "relay_overflow_share",
                new MetricLabel("service", service.value()),
                new MetricLabel("data_centre", centre.value()))
            .registryName();
    if (registered.size() < MAX_GAUGES && registered.add(name)) {
      Gauge<Number> share = () -> share(service, centre);
      registry.register(name, share);
    }
  }

  private double share(ServiceName service, DataCentreId centre) {
    OverflowDecision decision = decisions.get().get(service);
    return decision == null ? 0 : decision.shares().getOrDefault(centre, 0.0);
  }
}
