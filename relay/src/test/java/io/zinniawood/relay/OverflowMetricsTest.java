package io.zinniawood.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import com.codahale.metrics.MetricRegistry;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.overflow.OverflowDecision;
import io.zinniawood.core.overflow.OverflowReason;
import io.zinniawood.telemetry.PrometheusText;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class OverflowMetricsTest {
  // A share that ends must be shown as 0, not as its last value.
  @Test
  void sharesAreShownByDataCentreUntilTheyEnd() {
    Map<ServiceName, OverflowDecision> decisions = new HashMap<>();
    ServiceName service = new ServiceName("model");
    MetricRegistry registry = new MetricRegistry();
    OverflowMetrics metrics = new OverflowMetrics(registry, () -> decisions, () -> 16_000);
    PrometheusText text = new PrometheusText(registry);
    decisions.put(
        service,
        new OverflowDecision(
            Map.of(new DataCentreId("b"), 0.25), Set.of(), OverflowReason.WAIT_AT_HOME));
    metrics.update();
    String share = "relay_overflow_share{service=\"model\",data_centre=\"b\",} ";
    assertThat(text.render(), containsString(share + "0.25"));
    assertThat(text.render(), containsString("relay_overflow_bytes_total 16000.0"));
    decisions.remove(service);
    assertThat(text.render(), containsString(share + "0.0"));
  }
}
