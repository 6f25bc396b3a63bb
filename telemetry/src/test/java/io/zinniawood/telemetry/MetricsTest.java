package io.zinniawood.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class MetricsTest {
  // Special characters in label values must not break the text format or merge two accounts.
  @Test
  void labelValuesAreExportedUnchanged() {
    MetricRegistry registry = new MetricRegistry();
    LabelledCounters counters =
        new LabelledCounters(registry, "requests_total", List.of("account", "target"), 10);
    counters.increment("a|b=c.d", "m\"1");
    counters.increment("a|b=c.d", "m\"1");
    counters.increment("other.account", "m1");
    String text = new PrometheusText(registry).render();
    assertThat(text, containsString("requests_total{account=\"a|b=c.d\",target=\"m\\\"1\",} 2.0"));
    assertThat(
        text, containsString("requests_total{account=\"other.account\",target=\"m1\",} 1.0"));
  }

  // The memory must not grow with the number of different names that callers send.
  @Test
  void labelCombinationsAreLimited() {
    MetricRegistry registry = new MetricRegistry();
    LabelledCounters counters = new LabelledCounters(registry, "x", List.of("account"), 3);
    for (int index = 0; index < 100; index++) {
      counters.increment("a" + index);
    }
    assertThat(registry.getCounters().size(), equalTo(4));
    assertThat(new PrometheusText(registry).render(), containsString("x{account=\"other\",} 97.0"));
  }

  // Quantiles over the whole lifetime of the process would hide a current problem.
  @Test
  void reservoirDiscardsOldWindows() {
    AtomicLong nowNanos = new AtomicLong();
    HdrReservoir reservoir = new HdrReservoir(1_000, nowNanos::get);
    Histogram histogram = new Histogram(reservoir);
    for (int value = 1; value <= 1_000; value++) {
      histogram.update(value * 1_000L);
    }
    assertThat(reservoir.getSnapshot().get99thPercentile(), closeTo(990_000, 9_900));
    assertThat(reservoir.size(), equalTo(1_000));
    nowNanos.addAndGet(1_000);
    histogram.update(5);
    assertThat(reservoir.size(), equalTo(1_001));
    nowNanos.addAndGet(1_000);
    assertThat(reservoir.size(), equalTo(1));
    assertThat(reservoir.getSnapshot().getMax(), equalTo(5L));
  }
}
