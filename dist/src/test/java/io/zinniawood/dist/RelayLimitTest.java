package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.zinniawood.cli.local.Ports;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.dist.users.EndpointStandIn;
import io.zinniawood.dist.users.RoutesDocument;
import io.zinniawood.dist.users.StoreStandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests relay processes that share an endpoint which names a limit in its answers. */
final class RelayLimitTest {
  private static final int RELAYS = 3;
  private static final double REQUESTS_PER_SECOND = 2;
  private static final long CALL_INTERVAL_MILLIS = 40;
  private static final long CALL_MILLIS = 100;
  private static final long LEARN_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long START_TIMEOUT_SECONDS = 60;

  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final AtomicInteger requestCount = new AtomicInteger();
  private final Queue<CompletableFuture<Integer>> answers = new ConcurrentLinkedQueue<>();
  private final List<NodeAddress> callersAddresses = new ArrayList<>();
  private final List<RoleProcess> relays = new ArrayList<>();
  private StoreStandIn store;
  private EndpointStandIn limited;
  private EndpointStandIn unlimited;

  @BeforeEach
  void startRelays() throws IOException, InterruptedException {
    store = new StoreStandIn();
    store.put("op", "config", RoutesDocument.json(1, "key"));
    limited = new EndpointStandIn(store, "limited", "plain", "");
    unlimited = new EndpointStandIn(store, "unlimited", "plain", "");
    // Requests in flight make the relays use both endpoints.
    limited.delayPlainCalls(CALL_MILLIS);
    unlimited.delayPlainCalls(CALL_MILLIS);
    for (int number = 1; number <= RELAYS; number++) {
      callersAddresses.add(Ports.free());
      relays.add(
          RoleProcess.start(
              "relay",
              "limit-relay-" + number,
              """
              vm = "relay-%d"
              data_centre = "home"
              callers = "%s"
              admin = "%s"
              store = "%s"
              peers = "%s"
              first_start = "true"
              """
                  .formatted(
                      number,
                      callersAddresses.get(number - 1),
                      Ports.free(),
                      store.address(),
                      Ports.free())));
    }
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    for (NodeAddress relay : callersAddresses) {
      while (status(relay) != 200) {
        assertThat("the relays serve in time", System.nanoTime() - endNanos < 0, is(true));
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
  }

  @AfterEach
  void close() {
    timer.shutdownNow();
    relays.forEach(RoleProcess::close);
    limited.close();
    unlimited.close();
    store.close();
  }

  private int status(NodeAddress relay) {
    return call(relay).exceptionally(notListening -> 0).join();
  }

  private CompletableFuture<Integer> call(NodeAddress relay) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + relay + "/read/x"))
            .header("Attempt-Id", "request-" + requestCount.incrementAndGet())
            .header("Authorization", "Token key")
            .header("Deadline-Ms", "10000")
            .build();
    return httpClient
        .sendAsync(request, HttpResponse.BodyHandlers.discarding())
        .thenApply(HttpResponse::statusCode);
  }

  private long requestsBefore(long nanos, List<Long> arrivals) {
    return arrivals.stream().filter(at -> at - nanos < 0).count();
  }

  // Guards against relays that each keep to the limit of an endpoint but exceed it together.
  @Test
  void processesTogetherKeepToTheLimitOfAnEndpoint() throws InterruptedException {
    // A fixed rate would make up for a pause of this process with a burst, which no endpoint holds.
    timer.scheduleWithFixedDelay(
        () -> callersAddresses.forEach(relay -> answers.add(call(relay))),
        0,
        CALL_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    TimeUnit.SECONDS.sleep(5);
    limited.nameLimit(REQUESTS_PER_SECOND);
    final long namedNanos = System.nanoTime();
    TimeUnit.SECONDS.sleep(13);
    timer.shutdownNow();
    final long endNanos = System.nanoTime();
    List<Integer> failed =
        answers.stream().map(CompletableFuture::join).filter(status -> status != 200).toList();
    List<Long> arrivals = limited.arrivalNanos();
    long allowed = (long) (1.5 * REQUESTS_PER_SECOND * 4 + 5);
    for (long start : arrivals) {
      if (start - namedNanos >= LEARN_NANOS) {
        long inSpan =
            requestsBefore(start + SPAN_NANOS, arrivals) - requestsBefore(start, arrivals);
        assertThat(inSpan, lessThanOrEqualTo(allowed));
      }
    }
    long afterLearning =
        requestsBefore(endNanos, arrivals) - requestsBefore(namedNanos + LEARN_NANOS, arrivals);
    assertThat("the limit is used", afterLearning, greaterThan(5L));
    assertThat("the other endpoint takes the rest", failed, empty());
  }
}
