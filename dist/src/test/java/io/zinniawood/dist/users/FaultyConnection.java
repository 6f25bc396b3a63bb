package io.zinniawood.dist.users;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Connection from a relay to a {@link FaultyEndpoint}; serves one request at a time. */
final class FaultyConnection {
  private static final List<String> UNKNOWN_STATUS_LINES =
      List.of(
          "HTTP/1.1 000 Unknown",
          "HTTP/1.1 099 X",
          "HTTP/1.1 600 X",
          "HTTP/1.1 20 OK",
          "HTTP/1.1 2000 OK",
          "HTTP/1.1 0200 OK");

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_PADDING_BYTES = 2_000;
  private static final int MAX_PAUSE_MILLIS = 300;
  private static final int MAX_STUTTER_DELAY_MILLIS = 30;
  private static final int EVENT_INTERVAL_MILLIS = 3;

  /** Exceeds the short time limits of callers. */
  private static final int MAX_WORK_MILLIS = 3_000;

  private final Socket socket;
  private final OutputStream output;
  private final HttpMessageReader input;
  private final FaultyEndpointRow row;
  private final AnswerLedger ledger;
  private final Set<EndpointFault> faults;
  private final Random random;
  private final Supplier<String> signatures;
  private final CutAnswer cutAnswer;
  private final TimeLimitedAnswer timeLimited;
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
    cutAnswer = new CutAnswer(output, ledger, random);
    timeLimited = new TimeLimitedAnswer(output, ledger, random);
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
    send(text);
    return true;
  }

  private boolean has(EndpointFault fault, int oneIn) {
    return faults.contains(fault) && random.nextInt(oneIn) == 0;
  }

  private boolean execute(HttpMessageReader.Head head) throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    String request = head.header("attempt-id");
    if (head.header("expect-replica") == null) {
      return sendRefusal(request, 421);
    }
    AnswerIds ids = new AnswerIds(signatures.get(), request);
    boolean lateSuccess = has(EndpointFault.LATE_SUCCESS, 6);
    if (lateSuccess || has(EndpointFault.FAIL, 6)) {
      return sendNotExecuted(ids, lateSuccess);
    }
    ledger.run(ids.signature(), request);
    if (has(EndpointFault.UNKNOWN_STATUS, 3)) {
      return sendUnknownStatus(ids);
    }
    long limitMillis = Long.parseLong(head.header("deadline-ms"));
    boolean reachesLimit =
        has(EndpointFault.TIME_LIMIT, 2) && random.nextInt(MAX_WORK_MILLIS) >= limitMillis;
    OptionalLong limitNanos =
        reachesLimit
            ? OptionalLong.of(startNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis))
            : OptionalLong.empty();
    return head.header("hops") == null
        ? answerPlain(ids, limitNanos)
        : answerStream(ids, head.header("last-event-id"), limitNanos);
  }

  private boolean sendRefusal(String request, int status) throws IOException {
    String head =
        "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\n{}"
            .formatted(status, request);
    send(head);
    return true;
  }

  private boolean sendNotExecuted(AnswerIds ids, boolean lateSuccess)
      throws IOException, InterruptedException {
    ledger.plain(ids.signature(), 503, "{}", true);
    send(
        ids.head(503)
            + "Not-Executed: 1\r\nRetry-After: 0.1\r\n"
            + AnswerFraming.LENGTH.endOfHead(2)
            + "{}");
    ledger.written(ids.signature());
    return lateSuccess ? repeat(ids) : stutter(ids);
  }

  /** Sends an answer whose head says nothing of its request. */
  private boolean sendUnknownStatus(AnswerIds ids) throws IOException {
    ledger.plain(ids.signature(), 0, "{}", false);
    String line = UNKNOWN_STATUS_LINES.get(random.nextInt(UNKNOWN_STATUS_LINES.size()));
    send(
        ids.head(200).replaceFirst("HTTP/1.1 200 X", line)
            + "Content-Type: text/event-stream\r\n"
            + AnswerFraming.LENGTH.endOfHead(2)
            + "{}");
    return true;
  }

  private boolean answerPlain(AnswerIds ids, OptionalLong limitNanos)
      throws IOException, InterruptedException {
    String body =
        "{\"by\":\"%s\",\"request\":\"%s\"}%s"
            .formatted(
                ids.signature(), ids.request(), " ".repeat(random.nextInt(MAX_PADDING_BYTES)));
    if (limitNanos.isPresent()) {
      return timeLimited.sendPlain(ids, body, limitNanos.getAsLong());
    }
    if (has(EndpointFault.CUT_THEN_REPEAT, 2)) {
      cutAnswer.sendPlain(ids, body);
      return true;
    }
    int status = has(EndpointFault.FAIL, 6) ? 500 : 200;
    AnswerFraming framing =
        has(EndpointFault.UNFRAMED, 2) ? AnswerFraming.CONNECTION : AnswerFraming.LENGTH;
    String firstHalf = body.substring(0, body.length() / 2);
    send(ids.head(status) + framing.endOfHead(body.length()));
    send(firstHalf);
    pause();
    // A close in order would end an answer without a length in good form.
    if (has(EndpointFault.BREAK_OFF, 8)) {
      ledger.plain(ids.signature(), status, firstHalf, false);
      return breakOff(!framing.keepsConnection());
    }
    ledger.plain(ids.signature(), status, body, true);
    send(body.substring(firstHalf.length()));
    ledger.written(ids.signature());
    return framing.keepsConnection() && stutter(ids);
  }

  private void send(String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.UTF_8));
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

  private boolean answerStream(AnswerIds ids, String last, OptionalLong limitNanos)
      throws IOException, InterruptedException {
    AnswerFraming framing =
        has(EndpointFault.UNFRAMED, 2) ? AnswerFraming.CONNECTION : AnswerFraming.CHUNKS;
    send(ids.head(200) + "Content-Type: text/event-stream\r\n" + framing.endOfHead(0));
    int first = last == null ? 1 : Integer.parseInt(last) + 1;
    if (limitNanos.isPresent()) {
      return timeLimited.endStream(ids, first, framing, limitNanos.getAsLong());
    }
    if (first <= StreamEvents.LAST && has(EndpointFault.EMPTY_STREAM, 4)) {
      ledger.stream(ids.signature(), 200, first, first - 1, false);
      return endStream(framing) && stutter(ids);
    }
    int breakAt = has(EndpointFault.BREAK_OFF, 3) ? randomEvent(first) : Integer.MAX_VALUE;
    int cutAt =
        framing == AnswerFraming.CHUNKS && has(EndpointFault.CUT_THEN_REPEAT, 2)
            ? randomEvent(first)
            : Integer.MAX_VALUE;
    for (int event = first; event <= StreamEvents.LAST; event++) {
      String text = StreamEvents.event(event);
      if (event == breakAt) {
        ledger.stream(ids.signature(), 200, first, event - 1, false);
        send(framing.part(text.substring(0, random.nextInt(text.length() - 1))));
        return breakOff(!framing.keepsConnection());
      }
      if (event == cutAt) {
        cutAnswer.endStream(ids, first, event);
        return true;
      }
      if (event == StreamEvents.LAST) {
        ledger.stream(ids.signature(), 200, first, event, true);
      }
      send(framing.part(text));
      Thread.sleep(EVENT_INTERVAL_MILLIS);
      if (event % 10 == 0 && event < StreamEvents.LAST) {
        pause();
      }
    }
    boolean open = endStream(framing);
    ledger.written(ids.signature());
    return open && stutter(ids);
  }

  private int randomEvent(int first) {
    return first + random.nextInt(StreamEvents.LAST);
  }

  /** Ends a stream in good form and returns whether the connection stays open. */
  private boolean endStream(AnswerFraming framing) throws IOException {
    send(framing.end());
    return framing.keepsConnection();
  }

  /** Repeats some of the answers. */
  private boolean stutter(AnswerIds ids) throws IOException, InterruptedException {
    return !has(EndpointFault.STUTTER, 2) || repeat(ids);
  }

  /** Repeats an answer at once or keeps the repetition for the next request. */
  private boolean repeat(AnswerIds ids) throws IOException, InterruptedException {
    String repetition = ids.repetition(AnswerFraming.LENGTH);
    if (random.nextBoolean()) {
      heldRepetition = repetition;
      return true;
    }
    Thread.sleep(random.nextInt(MAX_STUTTER_DELAY_MILLIS));
    return sendRepetition(repetition);
  }

  private boolean sendRepetition(String repetition) throws IOException {
    boolean part = random.nextInt(6) == 0;
    int length = part ? 1 + random.nextInt(repetition.length() - 1) : repetition.length();
    send(repetition.substring(0, length));
    // After some of the cut repetitions the next answer follows on the same connection.
    return !part || random.nextBoolean();
  }
}
