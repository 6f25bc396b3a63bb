package io.zinniawood.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.core.relay.RelayParameters;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.core.relay.SchedulingSettings;
import io.zinniawood.relay.internal.MemoryBudget;
import io.zinniawood.telemetry.DecisionLog;
import java.io.OutputStream;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RelayMetricsTest {
  // The log is bounded; the counters must show suspicious answers whose lines were dropped.
  @Test
  void suspiciousAnswersAreCountedByReason() {
    RelayState state =
        new RelayState(
            new RelayParameters(
                new VmId("vm"),
                new DataCentreId("dc"),
                Optional.empty(),
                false,
                8_000,
                SchedulingSettings.AUTO,
                1));
    MemoryBudget memory =
        new MemoryBudget(64 * 1024 * 1024, 64 * 1024 * 1024, 1_000, line -> {}, () -> 0);
    try (DecisionLog log =
        new DecisionLog(OutputStream.nullOutputStream(), () -> Instant.EPOCH, () -> 0)) {
      RelayMetrics metrics = new RelayMetrics(state, memory, log);
      count(metrics, "bytes-after-answer", "answer");
      count(metrics, "bytes-after-answer", "answer");
      count(metrics, "bytes-after-answer", "no-answer");
      count(metrics, "attempt-ended", "foreign-head");
      String text = metrics.render();
      assertThat(text, containsString(line("bytes-after-answer", "answer", 2)));
      assertThat(text, containsString(line("bytes-after-answer", "no-answer", 1)));
      assertThat(text, containsString(line("attempt-ended", "foreign-head", 1)));
    }
  }

  private static void count(RelayMetrics metrics, String event, String reason) {
    metrics.countDecision(Decision.of(event, "request", "r", "reason", reason));
  }

  private static String line(String event, String reason, int count) {
    return "relay_decisions_total{event=\"%s\",outcome=\"-\",reason=\"%s\",} %d.0"
        .formatted(event, reason, count);
  }
}
