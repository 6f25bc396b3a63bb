package io.zinniawood.dist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.zinniawood.cli.local.Ports;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.dist.users.EndpointStandIn;
import io.zinniawood.dist.users.RoutesDocument;
import io.zinniawood.dist.users.StoreStandIn;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a SIGTERM in calm lets no request of a relay end without an answer. */
final class PlannedStopTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final int GRACE_SECONDS = 8;

  /** Time after the signal in which a balancer opens connections; it notices within 3.5 s. */
  private static final long CONNECT_MILLIS = 3_400;

  private static final int SMALL_RECEIVE_BUFFER_BYTES = 65_536;

  private final NodeAddress callersAddress = Ports.free();
  private final NodeAddress adminAddress = Ports.free();
  private final AtomicInteger requestCount = new AtomicInteger();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private StoreStandIn store;
  private EndpointStandIn endpoint;
  private RoleProcess relay;

  @BeforeEach
  void startPlatformAndRelay() throws Exception {
    store = new StoreStandIn();
    store.put("op", "config", RoutesDocument.json(1, "key"));
    endpoint = new EndpointStandIn(store, "plain", "plain", "");
    relay = RoleProcess.start("relay", "planned-stop", settings());
    awaitStatus(200);
  }

  @AfterEach
  void closePlatformAndRelay() {
    relay.close();
    threads.shutdownNow();
    endpoint.close();
    store.close();
  }

  private String settings() {
    return """
        vm = "relay-1"
        data_centre = "home"
        callers = "%s"
        admin = "%s"
        store = "%s"
        grace_s = %d
        """
        .formatted(callersAddress, adminAddress, store.address(), GRACE_SECONDS);
  }

  private void awaitStatus(int status) throws Exception {
    HttpClient client = HttpClient.newHttpClient();
    URI readiness = URI.create("http://" + adminAddress + "/readiness");
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (System.nanoTime() - endNanos < 0) {
      try {
        HttpRequest request = HttpRequest.newBuilder(readiness).build();
        if (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == status) {
          return;
        }
      } catch (IOException notListening) {
        // Asked again below.
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new AssertionError("the readiness probe is not answered with " + status);
  }

  private String head(String path) {
    return "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: request-%d\r\n"
            .formatted(path, callersAddress, requestCount.incrementAndGet())
        + "Authorization: Token key\r\nDeadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n";
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress(callersAddress.host(), callersAddress.port()));
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String readUntilClosed(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  // Guards against a call at a slow endpoint that the kill ends without an answer.
  @Test
  void openCallIsAnsweredWithinTheGracePeriod() throws Exception {
    store.put("op", "config", RoutesDocument.json(2, "key").replace("5000", "60000"));
    endpoint.delayPlainCalls(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    TimeUnit.SECONDS.sleep(1);
    try (Socket socket = connect()) {
      write(socket, head("/book/x"));
      CompletableFuture<Integer> exit = terminateAndKill();
      assertThat(readUntilClosed(socket), startsWith("HTTP/1.1 504 "));
      assertThat(exit.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(0));
    }
  }

  /** Sends SIGTERM and, as the platform does, SIGKILL at the end of the grace period. */
  private CompletableFuture<Integer> terminateAndKill() {
    relay.signal("TERM");
    CompletableFuture<Integer> exit =
        CompletableFuture.supplyAsync(() -> relay.awaitExitCode(), threads);
    CompletableFuture.delayedExecutor(GRACE_SECONDS, TimeUnit.SECONDS).execute(relay::close);
    return exit;
  }

  // Guards against the loss of bytes that the caller has not yet read as the process exits.
  @Test
  void answerToSlowCallerIsWhole() throws Exception {
    endpoint.padPlainAnswers(4_000_000);
    try (Socket socket = connect()) {
      write(socket, head("/read/x"));
      TimeUnit.SECONDS.sleep(1);
      CompletableFuture<Integer> exit = terminateAndKill();
      TimeUnit.SECONDS.sleep(5);
      String answer = readUntilClosed(socket);
      assertThat(answer, startsWith("HTTP/1.1 200 "));
      int length = Integer.parseInt(answer.split("content-length: ")[1].split("\r\n")[0]);
      assertThat(answer.length() - answer.indexOf("\r\n\r\n") - 4, is(length));
      assertThat(exit.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(0));
    }
  }

  // Guards against connections that are closed before the request which they were opened for, and
  // against requests that arrive between the last check and the exit.
  @ParameterizedTest
  @ValueSource(ints = {0, 20})
  void everyConnectionGetsAnAnswer(int firstBytes) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECT_MILLIS);
    relay.signal("TERM");
    List<Future<String>> answers = new ArrayList<>();
    while (System.nanoTime() - endNanos < 0) {
      Socket socket = connect();
      answers.add(threads.submit(() -> slowRequest(socket, firstBytes)));
      TimeUnit.MILLISECONDS.sleep(5);
    }
    List<String> missing = new ArrayList<>();
    for (Future<String> answer : answers) {
      String text = answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (!text.startsWith("HTTP/1.1 ")) {
        missing.add(answers.indexOf(answer) + " of " + answers.size() + ": " + text);
      }
    }
    assertThat(missing, empty());
    assertThat(relay.awaitExitCode(), is(0));
  }

  private String slowRequest(Socket socket, int firstBytes) throws InterruptedException {
    String head = head("/read/x").replace("Content-Length", "Connection: close\r\nContent-Length");
    try (socket) {
      write(socket, head.substring(0, firstBytes));
      TimeUnit.MILLISECONDS.sleep(100);
      write(socket, head.substring(firstBytes));
      return readUntilClosed(socket);
    } catch (IOException cut) {
      return cut.toString();
    }
  }

  // A second signal neither ends the process at once nor lengthens the drain; the store may be
  // away.
  @Test
  void secondSignalAndStoreOutageChangeNothing() throws Exception {
    endpoint.delayPlainCalls(1_500);
    try (Socket socket = connect()) {
      write(socket, head("/read/x"));
      store.setUnavailable(true);
      CompletableFuture<Integer> exit = terminateAndKill();
      TimeUnit.MILLISECONDS.sleep(300);
      relay.signal("TERM");
      assertThat(readUntilClosed(socket), startsWith("HTTP/1.1 200 "));
      assertThat(exit.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(0));
    }
  }

  // Guards against an answer that keeps its connection although the process is about to end.
  @Test
  void relayThatIsNotReadyClosesConnectionsOnItsDrain() throws Exception {
    store.put("op", "config", "{}");
    relay.close();
    relay.awaitExitCode();
    relay = RoleProcess.start("relay", "planned-stop-not-ready", settings());
    awaitStatus(503);
    relay.signal("TERM");
    TimeUnit.SECONDS.sleep(1);
    try (Socket socket = connect()) {
      write(socket, head("/read/x"));
      String answer = readUntilClosed(socket);
      assertThat(answer, startsWith("HTTP/1.1 503 "));
      assertThat(answer, containsString("connection: close"));
    }
  }

  // Guards against a relay that opens its port although it is to stop.
  @Test
  void signalBeforeSettingsAreReadEndsTheStart(@TempDir Path folder) throws Exception {
    relay.close();
    relay.awaitExitCode();
    Path pipe = folder.resolve("relay.toml");
    assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor(), is(0));
    relay = RoleProcess.start("relay", "planned-stop-starting", pipe);
    try (OutputStream writer = Files.newOutputStream(pipe, StandardOpenOption.WRITE)) {
      relay.signal("TERM");
      TimeUnit.MILLISECONDS.sleep(500);
      writer.write(settings().getBytes(StandardCharsets.UTF_8));
    } catch (IOException processEnded) {
      // The exit code tells.
    }
    assertThat(relay.awaitExitCode(), is(0));
  }
}
