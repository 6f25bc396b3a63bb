package io.zinniawood.entry.internal.admin;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.telemetry.HdrReservoir;
import io.zinniawood.telemetry.LabelledCounters;
import io.zinniawood.telemetry.PrometheusText;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Request and incident metrics of an entry. */
public final class EntryMetrics {
  /**
   * Covers 1,900 accounts with a few targets and outcomes each; a counter takes about 200 bytes.
   */
  private static final int MAX_RESULT_COMBINATIONS = 20_000;

  private static final int MAX_INCIDENT_COMBINATIONS = 64;
  private static final long HISTOGRAM_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final String NO_PROBLEM = "none";

  private final MetricRegistry registry;
  private final LabelledCounters results;
  private final LabelledCounters incidents;
  private final Histogram durations;
  private final Histogram firstTokens;
  private final Histogram tokenGaps;
  private final PrometheusText text;

  /**
   * Registers the metrics.
   *
   * @param registry registry of the process
   * @param clockNanos monotonic clock in nanoseconds
   */
  public EntryMetrics(MetricRegistry registry, LongSupplier clockNanos) {
    this.registry = registry;
    this.results =
        new LabelledCounters(
            registry,
            "zinniawood_requests_total",
            List.of("client_account", "target", "outcome", "problem"),
            MAX_RESULT_COMBINATIONS);
    this.incidents =
        new LabelledCounters(
            registry, "zinniawood_incidents_total", List.of("kind"), MAX_INCIDENT_COMBINATIONS);
    this.durations = histogram("zinniawood_request_duration_nanos", clockNanos);
    this.firstTokens = histogram("zinniawood_first_token_nanos", clockNanos);
    this.tokenGaps = histogram("zinniawood_slowest_token_gap_nanos", clockNanos);
    this.text = new PrometheusText(registry);
  }

  private Histogram histogram(String name, LongSupplier clockNanos) {
    return registry.histogram(
        name, () -> new Histogram(new HdrReservoir(HISTOGRAM_WINDOW_NANOS, clockNanos)));
  }

  /** Registers a gauge; replaces one that an earlier entry in this JVM registered by that name. */
  public void registerGauge(String name, LongSupplier value) {
    registry.remove(name);
    registry.register(name, (Gauge<Long>) value::getAsLong);
  }

  /** Counts the result of a request and records its latencies. */
  public void count(RequestResult result) {
    results.increment(
        result.clientAccount().value(),
        result.target(),
        result.outcome().text(),
        result.problem().fold(() -> NO_PROBLEM, problem -> problem.slug()));
    durations.update(result.durationNanos());
    result.firstTokenNanos().forEach(firstTokens::update);
    result.slowestGapNanos().forEach(tokenGaps::update);
  }

  /** Counts an incident. */
  public void count(Incident incident) {
    incidents.increment(incident.kind().name().toLowerCase(Locale.ROOT));
  }

  /** Returns the current values in the Prometheus text format. */
  public String render() {
    return text.render();
  }
}
