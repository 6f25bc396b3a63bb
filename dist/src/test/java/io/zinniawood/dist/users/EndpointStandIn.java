package io.zinniawood.dist.users;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an endpoint of the users' platform. It accepts orders to load layers, answers plain
 * calls with JSON, and streams events in response to requests with the header {@code Hops}.
 */
public final class EndpointStandIn implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int STREAM_EVENTS = 40;
  private static final long EVENT_INTERVAL_MILLIS = 5;

  private final StoreStandIn store;
  private final String id;
  private final String service;
  private final String acceleratorKind;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;
  private final AtomicInteger acceptedOrders = new AtomicInteger();
  private final AtomicInteger rowSequence = new AtomicInteger();
  private final Map<String, Integer> runsByRequest = new ConcurrentHashMap<>();
  private final List<String> executedPaths = new CopyOnWriteArrayList<>();
  private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
  private volatile String layersJson = "";
  private volatile int breakAfterEvents = Integer.MAX_VALUE;
  private volatile boolean failPlainCalls;
  private volatile long plainDelayMillis;
  private volatile int plainPaddingBytes;
  private volatile boolean emptyStreams;
  private volatile double requestLimit;
  private volatile int resumeStatus;
  private volatile boolean emptyResumedStreams;
  private volatile NodeAddress advertisedAddress;

  /**
   * Starts an endpoint on a free loopback port and writes its row to the store.
   *
   * @param acceleratorKind kind of accelerator, empty for an endpoint that holds no layers
   */
  public EndpointStandIn(StoreStandIn store, String id, String service, String acceleratorKind)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.acceleratorKind = acceleratorKind;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(threads);
    server.createContext("/", this::execute);
    server.createContext("/order", this::acceptOrder);
    server.createContext("/report", exchange -> respond(exchange, 200, reportJson()));
    server.start();
    advertisedAddress = address();
    writeRow("ready");
  }

  /** Replaces the address in the row of the endpoint, for example by that of a proxy. */
  public void advertise(NodeAddress address) {
    advertisedAddress = address;
    writeRow("ready");
  }

  /** Returns the address on which the endpoint listens. */
  public NodeAddress address() {
    return new NodeAddress("127.0.0.1", server.getAddress().getPort());
  }

  /**
   * Writes the row of the endpoint with the next sequence number.
   *
   * @param state serving state, for example {@code ready}
   */
  public void writeRow(String state) {
    String loadedLayers =
        layersJson.isEmpty()
            ? ""
            : ",\"kind\":\"%s\",\"layers\":%s".formatted(acceleratorKind, layersJson);
    String kindWithoutLayers =
        layersJson.isEmpty() && !acceleratorKind.isEmpty()
            ? ",\"kind\":\"%s\"".formatted(acceleratorKind)
            : "";
    store.put(
        "servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"home\",\"version\":\"v1\",\"slots\":6,"
                + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":1%s%s}")
            .formatted(
                service,
                advertisedAddress,
                state,
                rowSequence.incrementAndGet(),
                loadedLayers,
                kindWithoutLayers));
  }

  /** Makes each plain call take the given time. */
  public void delayPlainCalls(long millis) {
    plainDelayMillis = millis;
  }

  /** Adds bytes to each answer to a plain call. */
  public void padPlainAnswers(int bytes) {
    plainPaddingBytes = bytes;
  }

  /** Makes each stream break off within the event that follows the given number of events. */
  public void breakStreamsAfter(int events) {
    breakAfterEvents = events;
  }

  /**
   * Names a limit in each answer.
   *
   * @param requestsPerSecond requests that the endpoint takes from all relays; 0 for no limit
   */
  public void nameLimit(double requestsPerSecond) {
    requestLimit = requestsPerSecond;
  }

  /** Returns the monotonic times in nanoseconds at which requests arrived. */
  public List<Long> arrivalNanos() {
    return List.copyOf(arrivalNanos);
  }

  /** Makes each stream end in good form before its first event. */
  public void endStreamsWithoutEvents() {
    emptyStreams = true;
  }

  /** Answers each resumed stream with a text that is no stream, with the given HTTP status. */
  public void answerResumedStreamsWithText(int status) {
    resumeStatus = status;
  }

  /** Makes each resumed stream end in good form before its first event. */
  public void endResumedStreamsWithoutEvents() {
    emptyResumedStreams = true;
  }

  /** Sets whether plain calls are answered with status 500 instead of 200. */
  public void setFailPlainCalls(boolean fail) {
    failPlainCalls = fail;
  }

  /** Returns how often each request ran, by its {@code Attempt-Id}. */
  public Map<String, Integer> runsByRequest() {
    return runsByRequest;
  }

  /** Returns the {@code Hops} headers of the requests that ran with a path. */
  public List<String> executedPaths() {
    return executedPaths;
  }

  private String reportJson() {
    return "{\"sequence\":%d}".formatted(acceptedOrders.get());
  }

  private void acceptOrder(HttpExchange exchange) throws IOException {
    JsonNode body = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
    if (body.path("expected_rev").asInt(acceptedOrders.get()) != acceptedOrders.get()) {
      respond(exchange, 409, "{}");
      return;
    }
    acceptedOrders.incrementAndGet();
    layersJson =
        "{\"from\":%d,\"to\":%d,\"version\":1}"
            .formatted(body.path("from").asInt(), body.path("to").asInt());
    respond(exchange, 202, "{}");
    writeRow("ready");
  }

  private void respond(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private void execute(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    arrivalNanos.add(System.nanoTime());
    if (requestLimit > 0) {
      exchange.getResponseHeaders().set("Server-Limit", Double.toString(requestLimit));
    }
    String request = exchange.getRequestHeaders().getFirst("Attempt-Id");
    String path = exchange.getRequestHeaders().getFirst("Hops");
    exchange.getResponseHeaders().set("Attempt-Id", request);
    if (!id.equals(exchange.getRequestHeaders().getFirst("Expect-Replica"))) {
      respond(exchange, 421, "{}");
      return;
    }
    runsByRequest.merge(request, 1, Integer::sum);
    exchange.getResponseHeaders().set("Replica-Signature", "signed-by-" + id);
    if (path == null) {
      answerPlainCall(exchange, request);
      return;
    }
    executedPaths.add(path);
    streamEvents(exchange);
  }

  private void answerPlainCall(HttpExchange exchange, String request) throws IOException {
    try {
      Thread.sleep(plainDelayMillis);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return;
    }
    respond(
        exchange,
        failPlainCalls ? 500 : 200,
        "{\"by\":\"%s\",\"request\":\"%s\"}%s"
            .formatted(id, request, " ".repeat(plainPaddingBytes)));
  }

  private void streamEvents(HttpExchange exchange) throws IOException {
    String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
    if (last != null && resumeStatus != 0) {
      respond(exchange, resumeStatus, "{\"error\":\"internal\"}");
      return;
    }
    int from = last == null ? 1 : Integer.parseInt(last) + 1;
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream output = exchange.getResponseBody()) {
      if (emptyStreams || (last != null && emptyResumedStreams)) {
        return;
      }
      for (int event = from; event <= STREAM_EVENTS; event++) {
        if (event - from >= breakAfterEvents) {
          output.write("id: 999\ndata: ha".getBytes(StandardCharsets.UTF_8));
          output.flush();
          throw new IOException("stream broken off after " + (event - from) + " events");
        }
        output.write(
            "id: %d\ndata: token %d\n\n".formatted(event, event).getBytes(StandardCharsets.UTF_8));
        output.flush();
        Thread.sleep(EVENT_INTERVAL_MILLIS);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
