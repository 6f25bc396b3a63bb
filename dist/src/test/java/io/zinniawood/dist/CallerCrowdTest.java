package io.zinniawood.dist;

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
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a relay process with the flags of the deployment beside callers that use up its memory. */
final class CallerCrowdTest {
  /** The options of the deployment, and few descriptors, so that a small crowd uses them up. */
  private static final RoleProcess.Limits LIMITS =
      new RoleProcess.Limits(
          "-Xmx160m -Xss512k -XX:TieredStopAtLevel=1 -XX:+ExitOnOutOfMemoryError"
              + " -XX:MaxDirectMemorySize=64m",
          300);

  /** Memory of the smallest VM of a relay. */
  private static final CrowdCheck.Bounds BOUNDS = new CrowdCheck.Bounds(330_000_000, 300);

  private static final int CALLERS = 100;

  private static final String CREDENTIALS =
      "Host: 127.0.0.1\r\nAttempt-Id: crowd\r\nAuthorization: Token key\r\nDeadline-Ms: 10000\r\n";
  private static final String GET = "GET /read/x HTTP/1.1\r\n" + CREDENTIALS;
  private static final String CHUNKED =
      "POST /read/x HTTP/1.1\r\n" + CREDENTIALS + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String SHORT_LINES = "a:\r\n".repeat(1_000);

  @TempDir private Path folder;

  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final NodeAddress callersAddress = Ports.free();
  private final NodeAddress adminAddress = Ports.free();
  private StoreStandIn store;
  private EndpointStandIn plainEndpoint;
  private RoleProcess relay;
  private CrowdCheck check;
  private int ordinaryRequests;

  @BeforeEach
  void startRelay() throws Exception {
    store = new StoreStandIn();
    store.put("op", "config", RoutesDocument.json(1, "key"));
    plainEndpoint = new EndpointStandIn(store, "plain", "plain", "");
    String settings =
        """
        vm = "relay-1"
        data_centre = "home"
        callers = "%s"
        admin = "%s"
        store = "%s"
        first_start = "true"
        grace_s = 3600
        """
            .formatted(callersAddress, adminAddress, store.address());
    Path file = Files.writeString(folder.resolve("relay.toml"), settings);
    relay = RoleProcess.start("relay", "caller-crowd", file, LIMITS);
    check = new CrowdCheck(relay, BOUNDS, this::ordinaryAnswered);
    check.awaitOrdinaryAnswer();
  }

  @AfterEach
  void stop() throws IOException {
    check.close();
    relay.close();
    plainEndpoint.close();
    store.close();
  }

  private boolean ordinaryAnswered() {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + callersAddress + "/read/x"))
            .timeout(Duration.ofSeconds(10))
            .header("Attempt-Id", "ordinary-" + ++ordinaryRequests)
            .header("Authorization", "Token key")
            .header("Deadline-Ms", "10000")
            .build();
    try {
      return httpClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException notAnswered) {
      return false;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void withstands(NodeAddress address, CallerCrowd.Bytes bytes) throws Exception {
    check.withstands(address, CALLERS, bytes);
  }

  private void withstands(String opening, String repeated, int repetitions) throws Exception {
    withstands(callersAddress, new CallerCrowd.Bytes(opening, repeated, repetitions, 0));
  }

  // Guards against heads within the limits that together exceed the heap while requests run.
  @Test
  void manyShortLines() throws Exception {
    plainEndpoint.delayPlainCalls(3_000);
    withstands(GET, SHORT_LINES.repeat(5) + "\r\n" + GET, 3);
  }

  // Guards against lines that cost more than their bytes or that the decoder does not expect.
  @Test
  void unusualLines() throws Exception {
    withstands(GET, ": empty\r\n" + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 100);
    String line = "\u00e9: \u00ff\r\n\tfolded\r\nHost: a\r\nx: " + "x".repeat(1_000) + "\r\n";
    withstands(GET, line.repeat(10) + "\r\n" + GET, 100);
    withstands(GET, "a:\r\n\tb\r\n".repeat(1_500) + "\r\n" + GET, 40);
  }

  // Guards against heads that are decoded in full before their size is checked.
  @Test
  void headsOverTheLimit() throws Exception {
    withstands("", GET + SHORT_LINES.repeat(20) + "\r\n", 20);
  }

  // Guards against lines that the decoder holds before a head is complete.
  @Test
  void headsWithoutEnd() throws Exception {
    withstands(GET, SHORT_LINES.repeat(2), 1_000);
  }

  // Guards against a head timeout that each byte starts anew.
  @Test
  void headsWithoutEndByteByByte() throws Exception {
    withstands(
        callersAddress, new CallerCrowd.Bytes(GET + SHORT_LINES.repeat(4) + "b", "a", 2_000, 5));
  }

  // Guards against work and bytes before a request line without a limit.
  @Test
  void emptyLinesWithoutEnd() throws Exception {
    withstands("", "\r\n".repeat(10_000), 2_000);
  }

  // Guards against queued requests whose heads are not counted: 40 of 3,000 lines ended a relay.
  @Test
  void manyPipelinedRequests() throws Exception {
    withstands("", GET + "a:\r\n".repeat(3_000) + "\r\n", 40);
  }

  // Guards against trailers that are held without being counted.
  @Test
  void trailersWithoutEnd() throws Exception {
    withstands(CHUNKED + "1\r\nx\r\n0\r\n", SHORT_LINES.repeat(2), 1_000);
  }

  // Guards against chunks of one byte that occupy the event loop with their extensions.
  @Test
  void chunkExtensionsWithoutEnd() throws Exception {
    withstands(CHUNKED, "1;" + "x".repeat(8_000) + "\r\nx\r\n", 10_000);
  }

  // Guards against answers that nobody takes.
  @Test
  void answersThatAreNotRead() throws Exception {
    withstands("", ("GET /none HTTP/1.1\r\n" + CREDENTIALS + "\r\n").repeat(100), 1_000);
  }

  // Guards against large answers that are held for callers which never take them.
  @Test
  void largeAnswersThatAreNotRead() throws Exception {
    plainEndpoint.padPlainAnswers(3_000_000);
    withstands(GET + "Connection: close\r\n", "\r\n", 1);
  }

  // Guards against connections that hold the descriptors of other callers.
  @Test
  void idleConnections() throws Exception {
    check.withstands(callersAddress, 400, new CallerCrowd.Bytes(GET + "\r\n", "", 0, 0));
  }

  // Guards against a drain that waits for callers which never finish.
  @Test
  void drainBesideCrowds() throws Exception {
    check.join(callersAddress, 30, new CallerCrowd.Bytes(GET, "a:\r\n", 20_000, 5));
    check.join(callersAddress, 30, new CallerCrowd.Bytes(CHUNKED, "1\r\nx\r\n", 20_000, 5));
    check.join(callersAddress, 30, new CallerCrowd.Bytes("", GET + "\r\n", 1_000, 5));
    check.awaitOrdinaryAnswer();
    check.drains();
  }

  // Guards against a listener without limits beside the one for callers.
  @Test
  void headsWithoutEndAtTheAdministrationListener() throws Exception {
    withstands(
        adminAddress, new CallerCrowd.Bytes("GET /readiness HTTP/1.1\r\n", SHORT_LINES, 1_000, 0));
  }

  // Guards against metrics that are rendered and held for a reader that takes none.
  @Test
  void metricsThatAreNotRead() throws Exception {
    withstands(
        adminAddress,
        new CallerCrowd.Bytes("", "GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 20_000, 0));
  }
}
