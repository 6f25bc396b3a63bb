package io.zinniawood.relay;

import com.codahale.metrics.MetricRegistry;
import io.netty.util.internal.PlatformDependent;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.relay.internal.MemoryBudget;
import io.zinniawood.relay.internal.MemoryUser;
import io.zinniawood.telemetry.DecisionLog;
import io.zinniawood.telemetry.LabelledCounters;
import io.zinniawood.telemetry.PrometheusText;
import java.util.List;

/** Metrics of a relay; each decision is counted once by event, outcome and reason. */
public final class RelayMetrics {
  /** Maximum number of label combinations; there are few events, outcomes and reasons. */
  private static final int MAX_LABEL_COMBINATIONS = 256;

  private final MetricRegistry registry = new MetricRegistry();
  private final LabelledCounters decisions =
      new LabelledCounters(
          registry,
          "relay_decisions_total",
          List.of("event", "outcome", "reason"),
          MAX_LABEL_COMBINATIONS);
  private final OverflowMetrics overflow;
  private PrometheusText text;

  /** Registers the gauges of a relay; they are read when the metrics are rendered. */
  public RelayMetrics(RelayState state, MemoryBudget memory, DecisionLog log) {
    gauge("relay_requests_open", state::openRequests);
    gauge("relay_requests_waiting", state::waitingRequests);
    gauge("relay_wait_forecast_refusals_total", state::forecastRefusals);
    gauge("relay_wait_forecast_late_refusals_total", state::lateRefusals);
    gauge("relay_expected_returns", state::expectedReturns);
    gauge("relay_routes_version", state::routesVersion);
    gauge("relay_endpoints", state::endpoints);
    gauge("relay_store_era", state::storeEra);
    gauge("relay_prompt_parts_held", state::heldPromptParts);
    gauge("relay_crashing_requests_held", state::heldRequests);
    gauge("relay_endpoint_limits", state::endpointLimits);
    gauge("relay_endpoint_limit_requests_per_second", state::limitedRequestsPerSecond);
    gauge("relay_pace_limited_total", state::paceLimitedRequests);
    gauge("relay_processor_short_total", state::processorShortRequests);
    gauge("relay_tick_lateness_millis", state::tickLatenessMillis);
    gauge("relay_load_notice_relays", state::relaysWithLoadFigures);
    gauge("relay_load_notices_sent_total", state::loadNoticesSent);
    gauge("relay_load_notice_bytes_total", state::loadNoticeBytesSent);
    gauge("relay_lease_held", () -> state.holdsLease() ? 1 : 0);
    gauge("relay_store_available", () -> state.storeAvailable() ? 1 : 0);
    gauge("relay_log_lines_dropped_total", log::droppedLines);
    gauge("relay_memory_direct_bytes", PlatformDependent::usedDirectMemory);
    gauge("relay_memory_direct_limit_bytes", PlatformDependent::maxDirectMemory);
    overflow = new OverflowMetrics(registry, state::overflowShares, state::overflowBytes);
    for (MemoryUser user : MemoryUser.values()) {
      String name = "relay_memory_" + user.text().replace('-', '_');
      gauge(name + "_bytes", memory.account(user)::usedBytes);
      gauge(name + "_refusals_total", () -> memory.refusals(user));
    }
  }

  private void gauge(String name, com.codahale.metrics.Gauge<Number> gauge) {
    registry.register(name, gauge);
  }

  /** Counts a decision and records the duration of an ended request. */
  public void countDecision(Decision decision) {
    decisions.increment(decision.event(), field(decision, "outcome"), field(decision, "reason"));
    if ("request-ended".equals(decision.event())) {
      registry.histogram("relay_request_millis").update(millis(decision));
    }
  }

  /** Counts progress of a stream; several events received together count once. */
  public void countStreamEvent() {
    registry.counter("relay_stream_events_total").inc();
  }

  private static String field(Decision decision, String name) {
    List<Object> fields = decision.fields();
    for (int index = 0; index + 1 < fields.size(); index += 2) {
      if (name.equals(fields.get(index))) {
        return String.valueOf(fields.get(index + 1));
      }
    }
    return "-";
  }

  private static long millis(Decision decision) {
    List<Object> fields = decision.fields();
    for (int index = 0; index + 1 < fields.size(); index += 2) {
      if ("millis".equals(fields.get(index)) && fields.get(index + 1) instanceof Number number) {
        return number.longValue();
      }
    }
    return 0;
  }

  /** Returns the metrics in the Prometheus text format; must be called on the event loop. */
  public String render() {
    overflow.update();
    if (text == null) {
      text = new PrometheusText(registry);
    }
    return text.render();
  }
}
