package io.zinniawood.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryTimer;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Outcome;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Ends a test that hangs; no assertion depends on this time.
@Timeout(60)
class AdminHttpTest {
  private static final String CHAT =
      "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";

  // Guards against a load balancer that sends callers to an entry without a configuration.
  @Test
  void readinessFailsBeforeTheFirstConfiguration() {
    FakePlatform platform = new FakePlatform();
    platform.newestSnapshot = Option.none();
    try (EntryHarness entry = new EntryHarness(platform, event -> Vector.empty())) {
      assertThat(entry.admin("/healthz").statusCode(), equalTo(200));
      assertThat(entry.admin("/readyz").statusCode(), equalTo(503));
      assertThat(entry.chat(CHAT).statusCode(), equalTo(503));
      platform.newestSnapshot = Option.some(FakePlatform.snapshot(7));
      entry.awaitReady();
      assertThat(entry.admin("/readyz").statusCode(), equalTo(200));
      assertThat(
          entry.admin("/metrics").body(),
          containsString("zinniawood_configuration_generation 7.0"));
    }
  }

  // Guards against results missing from the metrics by account, and against broken report paths.
  @Test
  void servesMetricsAndReports() {
    RequestResult result =
        new RequestResult(
            new RequestId("r"),
            new ClientAccountId("kiosks"),
            "assistant",
            Outcome.COMPLETED,
            Option.none(),
            2_000_000,
            Option.some(1_000_000L),
            Option.none(),
            3,
            1,
            Option.some(new EndpointId("e1")));
    try (EntryHarness entry =
        new EntryHarness(
            new FakePlatform(),
            event ->
                event instanceof EntryEvent.ConfigurationAccepted
                    ? Vector.of(new EntryEffect.RecordResult(result))
                    : Vector.empty())) {
      entry.awaitReady();
      EntryHarness.await(
          () ->
              entry
                  .admin("/metrics")
                  .body()
                  .contains(
                      "zinniawood_requests_total{client_account=\"kiosks\",target=\"assistant\","
                          + "outcome=\"completed\",problem=\"none\",} 1.0"));
      assertThat(entry.admin("/reports").body(), containsString("href=\"/reports/today\""));
      assertThat(entry.admin("/reports/today").body(), equalTo("report as HTML"));
      assertThat(entry.admin("/reports/today.txt").body(), equalTo("report as TEXT"));
      HttpResponse<String> json = entry.admin("/reports/today.json");
      assertThat(json.headers().firstValue("content-type").orElse(""), containsString("json"));
      assertThat(entry.admin("/reports/unknown").statusCode(), equalTo(404));
      assertThat(entry.admin("/reports/..%2fx").statusCode(), equalTo(404));
    }
  }

  // Guards against a drain that cuts off a request in progress, or that leaves the readiness check
  // passing so that the load balancer keeps sending requests.
  @Test
  void drainFailsReadinessFirstAndFinishesOpenRequests() {
    AtomicReference<RequestId> open = new AtomicReference<>();
    try (EntryHarness entry =
        new EntryHarness(
            new FakePlatform(),
            event -> {
              if (event instanceof EntryEvent.ModelRequestArrived arrived) {
                open.set(arrived.request());
              } else if (event instanceof EntryEvent.DrainRequested) {
                return Vector.of(
                    new EntryEffect.SetReadiness(Readiness.DRAINING),
                    new EntryEffect.StartTimer(new EntryTimer.DrainGrace(), Long.MAX_VALUE));
              } else if (event instanceof EntryEvent.TimerFired) {
                return Vector.of(
                    new EntryEffect.ReplyToken(open.get(), "x".repeat(4_000_000)),
                    new EntryEffect.FinishAnswer(open.get(), FinishReason.STOP, 0),
                    new EntryEffect.StopProcess());
              }
              return Vector.empty();
            })) {
      entry.awaitReady();
      CompletableFuture<HttpResponse<String>> answer =
          entry.client.sendAsync(
              entry.request("/v1/chat/completions").POST(BodyPublishers.ofString(CHAT)).build(),
              HttpResponse.BodyHandlers.ofString());
      entry.awaitEvent(EntryEvent.ModelRequestArrived.class);
      CompletableFuture<Boolean> stopped = entry.process.drain();
      EntryHarness.await(() -> entry.admin("/readyz").statusCode() == 503);
      assertThat(entry.admin("/readyz").body(), containsString("draining"));
      assertThat(stopped.join(), equalTo(true));
      entry.process.close();
      assertThat(answer.join().body().length(), greaterThan(4_000_000));
    }
  }
}
