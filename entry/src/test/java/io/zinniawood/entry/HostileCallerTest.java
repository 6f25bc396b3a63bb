package io.zinniawood.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vavr.collection.Vector;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.model.FinishReason;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Ends a test that hangs; no assertion depends on this time.
@Timeout(60)
class HostileCallerTest {
  private static final String CHAT =
      "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]%s}";
  private static final String STREAM = ",\"stream\":true";

  private EntryHarness entry;

  // The prompt selects the answer: "flood" gets 4 MiB of tokens, "wait" none, others a short one.
  private static Vector<EntryEffect> script(EntryEvent event) {
    if (!(event instanceof EntryEvent.ModelRequestArrived arrived)) {
      return Vector.empty();
    }
    String prompt = arrived.prompt().text();
    if (prompt.contains("wait")) {
      return Vector.empty();
    }
    String token = prompt.contains("flood") ? "x".repeat(65_536) : "x";
    Vector<EntryEffect> tokens =
        Vector.fill(64, () -> new EntryEffect.ReplyToken(arrived.request(), token));
    return tokens.append(new EntryEffect.FinishAnswer(arrived.request(), FinishReason.STOP, 64));
  }

  @BeforeEach
  void start() {
    entry = new EntryHarness(new FakePlatform(), HostileCallerTest::script).awaitReady();
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  private Socket open(String head, String body) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.connect(
        new java.net.InetSocketAddress(
            entry.settings.callers().host(), entry.settings.callers().port()));
    socket.getOutputStream().write((head + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  private Socket openChat(String body) throws IOException {
    return open(chatHead(body.length()), body);
  }

  private static String chatHead(int length) {
    return ("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
            + "Authorization: Bearer %s\r\nContent-Length: %d")
        .formatted(FakePlatform.KEY, length);
  }

  // Guards against a request that keeps using engines after its caller disconnected.
  @Test
  void requestOfDisconnectedCallerIsCancelled() throws IOException {
    Socket socket = openChat(CHAT.formatted("wait", ""));
    EntryEvent.ModelRequestArrived arrived = entry.awaitEvent(EntryEvent.ModelRequestArrived.class);
    socket.close();
    EntryEvent.CallerDisconnected disconnected =
        entry.awaitEvent(EntryEvent.CallerDisconnected.class);
    assertThat(disconnected.request(), equalTo(arrived.request()));
  }

  // Guards against a caller that does not read its answer and thereby fills the entry's memory.
  @Test
  void slowCallerIsCancelledAndOthersAreServed() throws IOException {
    try (Socket slow = openChat(CHAT.formatted("flood", STREAM))) {
      EntryEvent.ModelRequestArrived arrived =
          entry.awaitEvent(EntryEvent.ModelRequestArrived.class);
      EntryEvent.CallerDisconnected disconnected =
          entry.awaitEvent(EntryEvent.CallerDisconnected.class);
      assertThat(disconnected.request(), equalTo(arrived.request()));
      assertThat(entry.chat(CHAT.formatted("hi", "")).statusCode(), equalTo(200));
      assertThat(slow.isConnected(), equalTo(true));
    }
  }

  // Guards against answers in the wrong order on one connection: behind a proxy, the second caller
  // would get the answer of the first.
  @Test
  void pipelinedRequestsCloseTheConnection() throws IOException {
    String waiting = CHAT.formatted("wait", "");
    String second = "GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n";
    try (Socket socket = open(chatHead(waiting.length()), waiting + second)) {
      assertThat(socket.getInputStream().readAllBytes().length, equalTo(0));
    }
    entry.awaitEvent(EntryEvent.CallerDisconnected.class);
  }

  private void assertProblem(HttpResponse<String> response, int status, String type) {
    assertThat(response.statusCode(), equalTo(status));
    assertThat(response.body(), containsString("urn:zinniawood:problem:" + type + "\""));
    assertThat(response.body(), containsString("\"outcome\":\"not-run\""));
    assertThat(
        response.headers().firstValue("content-type").orElse(""),
        containsString("application/problem+json"));
  }

  // Guards against malformed requests that get a closed connection or an unspecific error.
  @Test
  void malformedRequestsGetProblems() {
    assertProblem(entry.chat("{"), 400, "bad-request");
    assertProblem(entry.chat(""), 400, "bad-request");
    assertProblem(entry.chat(CHAT.formatted("a", ",\"stream\":1")), 400, "bad-request");
    assertProblem(entry.chat("x".repeat(70_000)), 413, "too-large");
    assertProblem(
        entry.chat(CHAT.replace("assistant", "none").formatted("", "")), 404, "not-found");
    byte[] badText = CHAT.formatted("\u00ff", "").getBytes(StandardCharsets.ISO_8859_1);
    assertProblem(
        entry.send(entry.request("/v1/chat/completions").POST(BodyPublishers.ofByteArray(badText))),
        400,
        "bad-request");
    for (String path : List.of("/services/none/x", "/nothing", "/services/")) {
      assertProblem(entry.send(entry.request(path)), 404, "not-found");
    }
    assertProblem(entry.send(entry.request("/services/credit/a/%2E./b")), 400, "bad-request");
    assertProblem(entry.send(entry.request("/v1/chat/completions")), 404, "not-found");
  }

  // Guards against an invalid header that is silently replaced by a default.
  @Test
  void badHeadersGetProblems() {
    for (String deadline : List.of("0", "-5", "soon", "1e3", "99999999999")) {
      assertProblem(
          entry.send(
              entry
                  .request("/v1/chat/completions")
                  .header("X-Request-Deadline-Ms", deadline)
                  .POST(BodyPublishers.ofString(CHAT.formatted("hi", "")))),
          400,
          "bad-request");
    }
    assertProblem(
        entry.send(
            entry
                .request("/services/credit/a")
                .header("Idempotency-Key", "a")
                .header("Idempotency-Key", "b")
                .POST(BodyPublishers.noBody())),
        400,
        "bad-request");
    assertProblem(
        entry.send(entry.request("/v1/models").setHeader("Authorization", "Bearer wrong")),
        401,
        "unauthenticated");
    assertProblem(
        entry.send(entry.request("/services/credit/a").header("X-Request-Priority", "top")),
        400,
        "bad-request");
  }

  // Guards against a request that runs without the header fields that were cut off after an
  // oversized one, for example its idempotency key.
  @Test
  void oversizedHeadersAreRefused() throws IOException {
    for (int length : List.of(20_000, 100_000)) {
      String head =
          "POST /services/credit/a HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nX-Long: %s"
              .formatted(FakePlatform.KEY, "x".repeat(length));
      try (Socket socket = open(head, "")) {
        byte[] buffer = new byte[4_096];
        int read = socket.getInputStream().read(buffer);
        String response = new String(buffer, 0, Math.max(0, read), StandardCharsets.UTF_8);
        assertThat(response, containsString("\"outcome\":\"not-run\""));
      }
    }
    assertThat(
        entry.events.stream().anyMatch(EntryEvent.ServiceRequestArrived.class::isInstance),
        equalTo(false));
  }

  // Guards against the epoll and io_uring transports, which Jooby prefers over NIO if present.
  @Test
  void onlyTheNioTransportIsOnTheClassPath() {
    for (String name : List.of("io.netty.channel.epoll.Epoll", "io.netty.channel.uring.IoUring")) {
      assertThrows(ClassNotFoundException.class, () -> Class.forName(name));
    }
    assertThat(entry.process.readiness().name(), not(equalTo("STARTING")));
  }
}
