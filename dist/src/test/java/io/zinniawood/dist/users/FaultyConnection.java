package io.zinniawood.dist.users;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

/** Connection from a relay to a {@link FaultyEndpoint}; serves one request at a time. */
final class FaultyConnection {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int STREAM_EVENTS = 40;
  private static final int MAX_PADDING_BYTES = 2_000;
  private static final int MAX_PAUSE_MILLIS = 300;
  private static final int MAX_STUTTER_DELAY_MILLIS = 30;
  private static final int EVENT_INTERVAL_MILLIS = 3;

  private final Socket socket;
  private final OutputStream output;
  private final HttpMessageReader input;
  private final FaultyEndpointRow row;
  private final AnswerLedger ledger;
  private final Set<EndpointFault> faults;
  private final Random random;
  private final Supplier<String> signatures;
  private String heldRepetition = "";

  FaultyConnection(
      Socket socket,
      FaultyEndpointRow row,
      AnswerLedger ledger,
      Set<EndpointFault> faults,
      Random random,
      Supplier<String> signatures)
      throws IOException {
    this.socket = socket;
    this.row = row;
    this.ledger = ledger;
    this.faults = faults;
    this.random = random;
    this.signatures = signatures;
    output = socket.getOutputStream();
    input = new HttpMessageReader(socket.getInputStream());
  }

  /** Serves a request; returns whether the connection stays open. */
  boolean serveRequest() throws IOException, InterruptedException {
    HttpMessageReader.Head head = input.readHead();
    if (head == null) {
      return false;
    }
    byte[] body = input.readBody(head, false);
    if (!heldRepetition.isEmpty()) {
      String repetition = heldRepetition;
      heldRepetition = "";
      if (!sendRepetition(repetition)) {
        return false;
      }
    }
    String expected = head.header("expect-replica");
    if (expected != null && !row.id().equals(expected)) {
      return sendRefusal(head.header("attempt-id"), 421);
    }
    if (head.startLine().contains(" /report ")) {
      return sendJson(200, row.reportJson());
    }
    if (head.startLine().contains(" /health ")) {
      return sendJson(200, "{}");
    }
    if (head.startLine().contains(" /order ")) {
      JsonNode order = MAPPER.readTree(body);
      int status =
          order.path("op").asText().equals("place")
              ? row.order(
                  order.path("expected_rev").asInt(),
                  order.path("from").asInt(),
                  order.path("to").asInt())
              : 404;
      row.write();
      return sendJson(status, "{}");
    }
    return execute(head);
  }

  private boolean sendJson(int status, String json) throws IOException {
    String text =
        ("HTTP/1.1 %d X\r\nReplica-Id: %s\r\nContent-Type: application/json\r\n"
                + "Content-Length: %d\r\n\r\n%s")
            .formatted(status, row.id(), json.length(), json);
    output.write(text.getBytes(StandardCharsets.UTF_8));
    return true;
  }

  private boolean has(EndpointFault fault, int oneIn) {
    return faults.contains(fault) && random.nextInt(oneIn) == 0;
  }

  private boolean execute(HttpMessageReader.Head head) throws IOException, InterruptedException {
    String request = head.header("attempt-id");
    if (head.header("expect-replica") == null) {
      return sendRefusal(request, 421);
    }
    String signature = signatures.get();
    if (has(EndpointFault.FAIL, 6)) {
      return sendNotExecuted(signature, request);
    }
    ledger.run(signature, request);
    return head.header("hops") == null
        ? answerPlain(signature, request)
        : answerStream(signature, request, head.header("last-event-id"));
  }

  private boolean sendRefusal(String request, int status) throws IOException {
    String head =
        "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\n{}"
            .formatted(status, request);
    output.write(head.getBytes(StandardCharsets.UTF_8));
    return true;
  }

  private boolean sendNotExecuted(String signature, String request)
      throws IOException, InterruptedException {
    ledger.plain(signature, 503, "{}".getBytes(StandardCharsets.UTF_8), true);
    String head = head(503, signature, request) + "Not-Executed: 1\r\nRetry-After: 0.1\r\n";
    output.write((head + "Content-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.UTF_8));
    ledger.written(signature);
    return stutter(signature, request);
  }

  private static String head(int status, String signature, String request) {
    return "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nReplica-Signature: %s\r\n"
        .formatted(status, request, signature);
  }

  private boolean answerPlain(String signature, String request)
      throws IOException, InterruptedException {
    int status = has(EndpointFault.FAIL, 6) ? 500 : 200;
    boolean unframed = has(EndpointFault.UNFRAMED, 2);
    byte[] body =
        "{\"by\":\"%s\",\"request\":\"%s\"}%s"
            .formatted(signature, request, " ".repeat(random.nextInt(MAX_PADDING_BYTES)))
            .getBytes(StandardCharsets.UTF_8);
    String head = head(status, signature, request);
    head += unframed ? "Connection: close\r\n\r\n" : "Content-Length: " + body.length + "\r\n\r\n";
    output.write(head.getBytes(StandardCharsets.UTF_8));
    output.write(body, 0, body.length / 2);
    pause();
    // A close in order would end an answer without a length in good form.
    if (has(EndpointFault.BREAK_OFF, 8)) {
      ledger.plain(signature, status, Arrays.copyOf(body, body.length / 2), false);
      return breakOff(unframed);
    }
    ledger.plain(signature, status, body, true);
    output.write(body, body.length / 2, body.length - body.length / 2);
    ledger.written(signature);
    return !unframed && stutter(signature, request);
  }

  private void pause() throws InterruptedException {
    if (has(EndpointFault.PAUSE, 2)) {
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Ends the connection; always returns false. */
  private boolean breakOff(boolean reset) throws IOException {
    if (reset || random.nextBoolean()) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
    return false;
  }

  private boolean answerStream(String signature, String request, String last)
      throws IOException, InterruptedException {
    boolean unframed = has(EndpointFault.UNFRAMED, 2);
    String framing = unframed ? "Connection: close" : "Transfer-Encoding: chunked";
    String head =
        "%sContent-Type: text/event-stream\r\n%s\r\n\r\n"
            .formatted(head(200, signature, request), framing);
    output.write(head.getBytes(StandardCharsets.UTF_8));
    int first = last == null ? 1 : Integer.parseInt(last) + 1;
    if (first <= STREAM_EVENTS && has(EndpointFault.EMPTY_STREAM, 4)) {
      ledger.stream(signature, first, first - 1, false);
      return endStream(unframed) && stutter(signature, request);
    }
    int breakAt =
        has(EndpointFault.BREAK_OFF, 3) ? first + random.nextInt(STREAM_EVENTS) : Integer.MAX_VALUE;
    for (int event = first; event <= STREAM_EVENTS; event++) {
      String text = "id: %d\ndata: token %d\n\n".formatted(event, event);
      if (event == breakAt) {
        ledger.stream(signature, first, event - 1, false);
        sendEvent(text.substring(0, random.nextInt(text.length() - 1)), unframed);
        return breakOff(unframed);
      }
      if (event == STREAM_EVENTS) {
        ledger.stream(signature, first, event, true);
      }
      sendEvent(text, unframed);
      Thread.sleep(EVENT_INTERVAL_MILLIS);
      if (event % 10 == 0 && event < STREAM_EVENTS) {
        pause();
      }
    }
    boolean open = endStream(unframed);
    ledger.written(signature);
    return open && stutter(signature, request);
  }

  private void sendEvent(String text, boolean unframed) throws IOException {
    if (text.isEmpty()) {
      return;
    }
    String bytes = unframed ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    output.write(bytes.getBytes(StandardCharsets.UTF_8));
  }

  /** Ends a stream in good form and returns whether the connection stays open. */
  private boolean endStream(boolean unframed) throws IOException {
    if (!unframed) {
      output.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    }
    return !unframed;
  }

  /** Repeats an answer at once or keeps the repetition for the next request. */
  private boolean stutter(String signature, String request)
      throws IOException, InterruptedException {
    if (!has(EndpointFault.STUTTER, 2)) {
      return true;
    }
    String repetition = head(200, signature, request) + "Content-Length: 2\r\n\r\nok";
    if (random.nextBoolean()) {
      heldRepetition = repetition;
      return true;
    }
    Thread.sleep(random.nextInt(MAX_STUTTER_DELAY_MILLIS));
    return sendRepetition(repetition);
  }

  private boolean sendRepetition(String repetition) throws IOException {
    boolean cut = random.nextInt(6) == 0;
    int length = cut ? 1 + random.nextInt(repetition.length() - 1) : repetition.length();
    output.write(repetition.substring(0, length).getBytes(StandardCharsets.UTF_8));
    // After some of the cut repetitions the next answer follows on the same connection.
    return !cut || random.nextBoolean();
  }
}
