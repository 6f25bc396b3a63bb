package io.zinniawood.standin.engine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.zinniawood.standin.engine.BatchScheduler.ScheduledStep;
import io.zinniawood.standin.http.DelayTimer;
import io.zinniawood.standin.http.Json;
import io.zinniawood.standin.platform.PlatformService;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EngineStandInTest {
  private static final ModelParameters MODEL = new ModelParameters("kiosk", "1", 6, 0);
  private final HttpClient http = HttpClient.newHttpClient();

  private String get(int port, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build();
    return http.send(request, BodyHandlers.ofString()).body();
  }

  private String post(int port, String path, byte[] body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    return http.send(request, BodyHandlers.ofString()).body();
  }

  private static byte[] run(String session, int position, String input) {
    return Json.cborBytes(
        new RunMessages.RunBody(
            List.of(new RunMessages.StepBody(session, position, input.getBytes(UTF_8), 50, null))));
  }

  private static String words(int count) {
    StringBuilder text = new StringBuilder();
    IntStream.range(0, count).forEach(i -> text.append("w").append(i).append(' '));
    return text.toString();
  }

  // Guards against batches that finish faster than the accelerator allows or ignore priorities.
  @Test
  void batchesLastForTheirCostAndServeHighPriorityFirst() throws Exception {
    DelayTimer timer = new DelayTimer("test");
    LinkedBlockingQueue<String> order = new LinkedBlockingQueue<>();
    BatchScheduler scheduler =
        new BatchScheduler(
            timer,
            new EngineSettings.Limits(2, 512, 10, 0),
            (decode, prefill) -> decode * 10_000_000L,
            cost -> cost,
            Runnable::run);
    CountDownLatch cancelled = new CountDownLatch(1);
    long startNanos = System.nanoTime();
    List<ScheduledStep> steps = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      String name = (i < 4 ? "batch " : "interactive ") + i;
      steps.add(
          new ScheduledStep(
              "s" + i,
              i < 4 ? 2 : 0,
              0,
              afterCancel(cancelled, order, name),
              () -> order.add("cancelled")));
    }
    scheduler.submit(steps);
    scheduler.cancel("s3");
    cancelled.countDown();
    List<String> finished = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      finished.add(order.poll(10, TimeUnit.SECONDS));
    }
    assertThat(
        finished,
        contains("cancelled", "interactive 4", "interactive 5", "batch 0", "batch 1", "batch 2"));
    assertThat(System.nanoTime() - startNanos, greaterThanOrEqualTo(50_000_000L));
    timer.close();
  }

  /** Records a finished step once the other one is cancelled, however late this thread does it. */
  private static Runnable afterCancel(
      CountDownLatch cancelled, Queue<String> finished, String step) {
    return () -> {
      try {
        cancelled.await();
        finished.add(step);
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
      }
    };
  }

  // Guards against a prefix cache that grows without bound or whose event numbers have no gaps.
  @Test
  void prefixCacheIsBoundedAndItsEventsHaveGaps() throws Exception {
    EngineSettings settings =
        EngineSettings.unlimited(MODEL, 0, 6)
            .withLimits(new EngineSettings.Limits(64, 512, 256, 32))
            .withDelays(new EngineSettings.Delays(0, 3, 0, 0));
    try (EngineStandIn standIn = EngineStandIn.launch(settings)) {
      int port = standIn.port();
      post(port, "/engine/run", run("a", 0, words(32)));
      post(port, "/engine/run", run("b", 0, words(32)));
      assertThat(get(port, "/control/counters"), containsString("\"cacheHitBlocks\":2"));
      post(port, "/engine/run", run("c", 0, "other " + words(32)));
      String events = get(port, "/events?after=0");
      assertThat(events, containsString("\"sequence\":2"));
      assertThat(events, not(containsString("\"sequence\":3")));
      assertThat(events, containsString("EVICTED"));
    }
  }

  // Guards against wrong answers of a session that continues without its state.
  @Test
  void stepsWithoutStateOrOverTheSessionLimitFail() throws Exception {
    EngineSettings settings =
        EngineSettings.unlimited(MODEL, 0, 6).withLimits(new EngineSettings.Limits(64, 512, 1, 32));
    try (EngineStandIn standIn = EngineStandIn.launch(settings)) {
      int port = standIn.port();
      assertThat(post(port, "/engine/run", run("a", 4, "coin")), containsString("no state"));
      post(port, "/engine/run", run("a", 0, "hello"));
      assertThat(
          post(port, "/engine/run", run("b", 0, "hello")), containsString("limit of sessions"));
      post(port, "/engine/run", run("a", 0, "hello"));
      assertThat(standIn.repeatedExecutions(), is(6));
      assertThat(
          get(port, "/control/executions"),
          containsString("{\"session\":\"a\",\"layer\":5,\"position\":0,\"count\":2}"));
    }
  }

  // Guards against model loads that exceed the rate limit of the weight store.
  @Test
  void loadsWaitForTheRateLimitOfTheWeightStore() throws Exception {
    PlatformSettings limited = new PlatformSettings(0, 0, 1, 1, 0, 0, List.of());
    try (PlatformStandIn platform = PlatformStandIn.launch(limited);
        EngineStandIn standIn =
            EngineStandIn.launch(
                EngineSettings.unlimited(MODEL, 0, 6)
                    .withPlatform(URI.create("http://127.0.0.1:" + platform.port())))) {
      byte[] order =
          Json.bytes(new OrderExecutor.OrderBody(1, "load-model", "kiosk", "2", 0, 3, null, null));
      for (int i = 0; i < 2; i++) {
        assertThat(post(standIn.port(), "/engine/orders", order), containsString("DONE"));
      }
      assertThat(platform.writes(PlatformService.WEIGHTS), greaterThanOrEqualTo(3L));
      assertThat(get(standIn.port(), "/engine/status"), containsString("\"toLayerExclusive\":3"));
    }
  }

  // Guards against fault switches that work only in-process; tests of whole processes use HTTP.
  @Test
  void faultsAreSetOverHttp() throws Exception {
    try (EngineStandIn standIn = EngineStandIn.launch(EngineSettings.unlimited(MODEL, 0, 6))) {
      int port = standIn.port();
      post(port, "/control/faults", "{\"down\":true}".getBytes(UTF_8));
      assertThat(get(port, "/engine/status"), containsString("503"));
      assertThat(post(port, "/control/faults", "x".getBytes(UTF_8)), containsString("400"));
      post(port, "/control/faults", "{}".getBytes(UTF_8));
      assertThat(get(port, "/engine/status"), containsString("kiosk"));
    }
  }
}
