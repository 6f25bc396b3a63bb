package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.zinniawood.cli.local.Ports;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.dist.users.EndpointStandIn;
import io.zinniawood.dist.users.RoutesDocument;
import io.zinniawood.dist.users.StoreStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a relay process with stand-ins for the store and the endpoints in this JVM. */
final class RelayTest {
  private static final long TIMEOUT_SECONDS = 60;

  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final AtomicInteger requestCount = new AtomicInteger();
  private final NodeAddress callersAddress = Ports.free();
  private final NodeAddress adminAddress = Ports.free();
  private StoreStandIn store;
  private EndpointStandIn firstModelEndpoint;
  private EndpointStandIn secondModelEndpoint;
  private EndpointStandIn plainEndpoint;
  private RoleProcess relay;

  @BeforeEach
  void startPlatformAndRelay() throws Exception {
    store = new StoreStandIn();
    store.put("op", "config", RoutesDocument.json(1, "key"));
    firstModelEndpoint = new EndpointStandIn(store, "first", "model", "gpu");
    secondModelEndpoint = new EndpointStandIn(store, "second", "model", "gpu");
    plainEndpoint = new EndpointStandIn(store, "plain", "plain", "");
    relay = startRelay();
    awaitTrue(() -> readinessStatus() == 200);
  }

  private RoleProcess startRelay() {
    return RoleProcess.start("relay", "relay", settings());
  }

  private String settings() {
    return """
        vm = "relay-1"
        data_centre = "home"
        callers = "%s"
        admin = "%s"
        store = "%s"
        first_start = "true"
        """
        .formatted(callersAddress, adminAddress, store.address());
  }

  @AfterEach
  void closePlatformAndRelay() {
    relay.close();
    firstModelEndpoint.close();
    secondModelEndpoint.close();
    plainEndpoint.close();
    store.close();
  }

  private int readinessStatus() throws IOException, InterruptedException {
    try {
      return get("http://" + adminAddress + "/readiness").statusCode();
    } catch (IOException notListening) {
      return 0;
    }
  }

  private HttpResponse<String> get(String uri) throws IOException, InterruptedException {
    return httpClient.send(
        HttpRequest.newBuilder(URI.create(uri)).build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> post(String path, String key)
      throws IOException, InterruptedException {
    return httpClient.send(
        HttpRequest.newBuilder(URI.create("http://" + callersAddress + path))
            .header("Attempt-Id", "request-" + requestCount.incrementAndGet())
            .header("Authorization", "Token " + key)
            .header("Deadline-Ms", "10000")
            .header("Token-Counts", "100,40")
            .POST(HttpRequest.BodyPublishers.ofString("{\"text\":1}"))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private static void awaitTrue(Callable<Boolean> condition) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.call()) {
      if (System.nanoTime() - endNanos > 0) {
        throw new AssertionError("the condition did not hold within " + TIMEOUT_SECONDS + " s");
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private static String allEvents() {
    StringBuilder events = new StringBuilder();
    for (int event = 1; event <= 40; event++) {
      events.append("id: %d\ndata: token %d\n\n".formatted(event, event));
    }
    return events.toString();
  }

  // End to end: the relay orders endpoints to load the layers, then streams complete answers.
  @Test
  void placesLayersAndStreamsWholeAnswers() throws Exception {
    awaitTrue(() -> post("/ask/x", "key").statusCode() == 200);
    HttpResponse<String> answer = post("/ask/x", "key");
    assertThat(answer.body(), is(allEvents()));
    assertThat(
        answer.headers().firstValue("Replica-Signature").orElseThrow(),
        containsString("signed-by-"));
  }

  // Guards against missing, repeated or partial events when a stream resumes at another endpoint.
  @Test
  void resumesBrokenStreamsWithoutGapOrRepeat() throws Exception {
    awaitTrue(() -> post("/ask/x", "key").statusCode() == 200);
    awaitTrue(
        () -> {
          firstModelEndpoint.breakStreamsAfter(10);
          secondModelEndpoint.breakStreamsAfter(Integer.MAX_VALUE);
          HttpResponse<String> answer = post("/ask/x", "key");
          assertThat(answer.body(), is(allEvents()));
          return firstModelEndpoint.executedPaths().size() > 1
              && secondModelEndpoint.executedPaths().size() > 1;
        });
  }

  // Guards against the text of an error in the middle of a stream, and against a broken stream that
  // looks complete.
  @ParameterizedTest
  @ValueSource(ints = {200, 404, 500})
  void answerThatIsNoStreamDoesNotContinueOne(int status) throws Exception {
    awaitTrue(() -> post("/ask/x", "key").statusCode() == 200);
    List<EndpointStandIn> endpoints = List.of(firstModelEndpoint, secondModelEndpoint);
    endpoints.forEach(endpoint -> endpoint.breakStreamsAfter(10));
    endpoints.forEach(endpoint -> endpoint.answerResumedStreamsWithText(status));
    String received = bytesOfStream();
    assertThat(received, containsString("token 10"));
    assertThat(received.split("HTTP/1.1", -1).length, is(2));
    assertThat(received, not(containsString("internal")));
    assertThat(received, not(endsWith("\r\n0\r\n\r\n")));
  }

  // Guards against a stream that ends as complete because the endpoint that resumes it fails before
  // its first event.
  @Test
  void endOfResumedStreamWithoutEventsIsNotBelievedFromOneEndpoint() throws Exception {
    awaitTrue(() -> post("/ask/x", "key").statusCode() == 200);
    List<EndpointStandIn> endpoints = List.of(firstModelEndpoint, secondModelEndpoint);
    endpoints.forEach(endpoint -> endpoint.breakStreamsAfter(10));
    endpoints.forEach(EndpointStandIn::endResumedStreamsWithoutEvents);
    String received = bytesOfStream();
    assertThat(received, containsString("token 10"));
    assertThat(received, not(endsWith("\r\n0\r\n\r\n")));
  }

  // A part of a stream counted as whole after two endpoints had failed before their first event.
  @Test
  void endOfResumedStreamWithoutEventsIsNotBelievedFromTwoEndpoints() throws Exception {
    awaitTrue(() -> post("/ask/x", "key").statusCode() == 200);
    firstModelEndpoint.endResumedStreamsWithoutEvents();
    secondModelEndpoint.endResumedStreamsWithoutEvents();
    assertThat(bytesOfStream("Last-Event-Id: 10\n"), startsWith("HTTP/1.1 502"));
  }

  private String bytesOfStream() throws IOException {
    return bytesOfStream("");
  }

  /**
   * Returns all bytes that a caller receives for a stream until its connection is closed.
   *
   * @param moreHeaders further lines of the head
   */
  private String bytesOfStream(String moreHeaders) throws IOException {
    try (Socket socket = new Socket(callersAddress.host(), callersAddress.port())) {
      String request =
          """
          POST /ask/x HTTP/1.1
          Host: %s
          Attempt-Id: request-%d
          Authorization: Token key
          Deadline-Ms: 10000
          Token-Counts: 100,40
          Content-Length: 0
          Connection: close
          %s
          """
              .formatted(callersAddress, requestCount.incrementAndGet(), moreHeaders);
      socket
          .getOutputStream()
          .write(request.replace("\n", "\r\n").getBytes(StandardCharsets.US_ASCII));
      return new String(readUntilClosed(socket), StandardCharsets.US_ASCII);
    }
  }

  private static byte[] readUntilClosed(Socket socket) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    byte[] buffer = new byte[8_192];
    try {
      int length;
      while ((length = socket.getInputStream().read(buffer)) >= 0) {
        received.write(buffer, 0, length);
      }
    } catch (SocketException reset) {
      // An aborted stream may end with a reset.
    }
    return received.toByteArray();
  }

  // Guards against an empty answer that looks complete when an endpoint ends before it has written.
  @Test
  void streamWithoutEventsIsRunElsewhere() throws Exception {
    awaitTrue(() -> post("/ask/x", "key").statusCode() == 200);
    firstModelEndpoint.endStreamsWithoutEvents();
    awaitTrue(
        () -> {
          assertThat(post("/ask/x", "key").body(), is(allEvents()));
          return firstModelEndpoint.executedPaths().size() > 1;
        });
  }

  // Guards against a retry of a non-idempotent call that an endpoint has run and answered with 500.
  @Test
  void failedNonIdempotentCallRunsOnceAndIsPassedOn() throws Exception {
    plainEndpoint.setFailPlainCalls(true);
    HttpResponse<String> answer = post("/book/x", "key");
    assertThat(answer.statusCode(), is(500));
    assertThat(plainEndpoint.runsByRequest().get("request-" + requestCount.get()), is(1));
  }

  // Guards against accepting a revoked API key when the routes change after a store outage.
  @Test
  void routesUpdateReachesTheRelayAfterStoreOutage() throws Exception {
    assertThat(post("/read/x", "key").statusCode(), is(200));
    store.setUnavailable(true);
    assertThat(post("/read/x", "key").statusCode(), is(200));
    store.setUnavailable(false);
    store.put("op", "config", RoutesDocument.json(9, "other"));
    awaitTrue(() -> post("/read/x", "key").statusCode() == 401);
    assertThat(post("/read/x", "other").statusCode(), is(200));
  }

  // Guards against an older configuration in force, and against a missed one, after the store came
  // back from a copy and its versions were given out again.
  @Test
  void newestConfigurationStaysInForceWhenStoreComesBackFromCopy() throws Exception {
    long beforeNanos = System.nanoTime();
    store.put("op", "config", RoutesDocument.json(5, "newest"));
    awaitTrue(() -> post("/read/x", "newest").statusCode() == 200);
    store.restore(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beforeNanos));
    awaitTrue(() -> get("http://" + adminAddress + "/metrics").body().contains("store_era 1"));
    assertThat(post("/read/x", "key").statusCode(), is(401));
    store.writeAgain();
    store.put("op", "config", RoutesDocument.json(9, "other"));
    awaitTrue(() -> post("/read/x", "other").statusCode() == 200);
    assertThat(post("/read/x", "newest").statusCode(), is(401));
  }

  // Guards against a read of the endpoint list that asks for the same page for ever, and against a
  // relay that ends or stops following the list because of entries of another writer.
  @Test
  void oddEntriesDoNotKeepTheRelayFromFollowingTheList() throws Exception {
    relay.close();
    relay.awaitExitCode();
    String sound =
        "{\"service\":\"plain\",\"address\":\"%s\",\"zone\":\"home\",\"slots\":%s,"
            + "\"state\":\"ready\",\"sequence\":1}";
    store.put("servers", "a&from=a", "{}");
    store.put("servers", "b#%41 +\u00e9", "[".repeat(20_000));
    store.put("servers", "c", sound.formatted("10.0.0.1:70000", "6"));
    store.put("servers", "d", sound.formatted("no such host/..:80", "6"));
    store.put("servers", "e", sound.formatted("10.0.0.1:80", "1" + "0".repeat(2_000)));
    store.put("servers", "f", sound.formatted("10.0.0.1:80", "2000000000"));
    store.setPageRows(1);
    relay = startRelay();
    awaitTrue(() -> readinessStatus() == 200);
    assertThat(post("/read/x", "key").statusCode(), is(200));
    store.put("servers", "g", "[".repeat(20_000));
    store.remove("servers", "plain");
    awaitTrue(() -> post("/read/x", "key").statusCode() == 503);
    try (EndpointStandIn added = new EndpointStandIn(store, "added", "plain", "")) {
      awaitTrue(() -> post("/read/x", "key").statusCode() == 200);
      assertThat(added.runsByRequest().isEmpty(), is(false));
    }
  }

  // Guards against a drain without failing readiness first, or with an exit code other than 0.
  @Test
  void drainsOnTermination() throws Exception {
    relay.signal("TERM");
    awaitTrue(() -> readinessStatus() != 200);
    assertThat(relay.awaitExitCode(), is(0));
  }

  // Guards against the JVM's default handling of SIGHUP, which ends the process.
  @Test
  void reloadSignalDoesNotEndTheProcess() throws Exception {
    relay.signal("HUP");
    assertThat(post("/read/x", "key").statusCode(), is(200));
    assertThat(readinessStatus(), is(200));
  }

  // A relay whose port was taken neither served nor exited, so that nobody started it again.
  @Test
  void relayThatCannotListenExits() {
    try (RoleProcess second = RoleProcess.start("relay", "relay-second", settings())) {
      assertThat(second.awaitExitCode(), is(1));
    }
  }

  // The platform may send SIGHUP at any time. Opening the pipe for writing blocks until the relay
  // opens it for reading, so the signal arrives after main has started and before the settings
  // are read.
  @Test
  void ignoresReloadSignalsBeforeSettingsAreRead(@TempDir Path folder) throws Exception {
    relay.close();
    relay.awaitExitCode();
    Path pipe = folder.resolve("relay.toml");
    assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor(), is(0));
    relay = RoleProcess.start("relay", "relay-starting", pipe);
    try (OutputStream writer = Files.newOutputStream(pipe, StandardOpenOption.WRITE)) {
      relay.signal("HUP");
      writer.write(settings().getBytes(StandardCharsets.UTF_8));
    }
    awaitTrue(() -> readinessStatus() == 200);
  }

  // Metrics and readiness share the admin address; guards against exposing metrics to callers.
  @Test
  void servesMetricsOnTheAdminAddressOnly() throws Exception {
    post("/read/x", "key");
    assertThat(
        get("http://" + adminAddress + "/metrics").body(), containsString("relay_requests_open"));
    assertThat(post("/metrics", "key").statusCode(), is(404));
    assertThat(post("/metrics", "key").body(), not(containsString("relay_requests_open")));
  }
}
