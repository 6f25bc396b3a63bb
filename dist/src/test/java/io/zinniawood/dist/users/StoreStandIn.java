package io.zinniawood.dist.users;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * In-memory stand-in for the store of the users' platform: reads of whole tables, transactions with
 * expected row versions, and a change feed by long polling. It can come back from a copy some
 * seconds old, which only a new era in all its answers tells.
 */
public final class StoreStandIn implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long FEED_POLL_MILLIS = 20;
  private static final long MAX_COPY_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;

  /** Newest values of the operator and the endpoints, which write them again after a restore. */
  private final Map<String, TreeMap<String, String>> ownedValues = new HashMap<>();

  private final Deque<Copy> copies = new ArrayDeque<>();
  private long version = 1;
  private long era;
  private volatile boolean unavailable;
  private volatile int pageRows = Integer.MAX_VALUE;

  private record Row(String value, long version) {}

  private record Copy(long nanos, long version, Map<String, TreeMap<String, Row>> tables) {}

  /** Starts a store on a free loopback port. */
  public StoreStandIn() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(threads);
    server.createContext("/rows-get", exchange -> respond(exchange, this::get));
    server.createContext("/rows-feed", exchange -> respond(exchange, this::feed));
    server.createContext("/rows-tx", exchange -> respond(exchange, this::transact));
    server.start();
  }

  /** Returns the address on which the store listens. */
  public NodeAddress address() {
    return new NodeAddress("127.0.0.1", server.getAddress().getPort());
  }

  /** Sets whether the store answers all requests with status 503. */
  public void setUnavailable(boolean nowUnavailable) {
    unavailable = nowUnavailable;
  }

  /** Sets the maximum number of rows in an answer to a read of a table. */
  public void setPageRows(int rows) {
    pageRows = rows;
  }

  /** Writes a row unconditionally, as the operator or an endpoint does. */
  public synchronized void put(String table, String key, String json) {
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    write(table, key, Optional.of(value));
  }

  private void write(String table, String key, Optional<String> value) {
    keepCopy();
    String present = value.orElse(null);
    tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(present, ++version));
    ownedValues.computeIfAbsent(table, name -> new TreeMap<>()).put(key, present);
  }

  /** Keeps the present state, as it was until the write that follows. */
  private void keepCopy() {
    long nowNanos = System.nanoTime();
    copies.addLast(new Copy(nowNanos, version, copyOfTables()));
    while (nowNanos - copies.getFirst().nanos() > MAX_COPY_AGE_NANOS) {
      copies.removeFirst();
    }
  }

  private Map<String, TreeMap<String, Row>> copyOfTables() {
    Map<String, TreeMap<String, Row>> copy = new HashMap<>();
    tables.forEach((table, rows) -> copy.put(table, new TreeMap<>(rows)));
    return copy;
  }

  /**
   * Brings back the state of some time ago in a new era; versions are given out again.
   *
   * @param ageMillis age of the copy in milliseconds
   */
  public synchronized void restore(long ageMillis) {
    keepCopy();
    long atNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
    Copy copy = copies.getLast();
    for (Copy candidate : copies) {
      if (candidate.nanos() - atNanos >= 0) {
        copy = candidate;
        break;
      }
    }
    tables.clear();
    copy.tables().forEach((table, rows) -> tables.put(table, new TreeMap<>(rows)));
    version = copy.version();
    era++;
    copies.clear();
  }

  /** Writes again what the operator and the endpoints had written and the copy lacks. */
  public synchronized void writeAgain() {
    ownedValues.forEach(
        (table, values) ->
            values.forEach(
                (key, value) -> {
                  Row present = tables.getOrDefault(table, new TreeMap<>()).get(key);
                  if (present == null || !Objects.equals(present.value(), value)) {
                    write(table, key, Optional.ofNullable(value));
                  }
                }));
  }

  /** Deletes a row; the change feed reports the deletion. */
  public synchronized void remove(String table, String key) {
    write(table, key, Optional.empty());
  }

  private interface Handler {
    Answer handle(Map<String, String> query, JsonNode body) throws InterruptedException;
  }

  private record Answer(int status, JsonNode body, long era) {}

  private synchronized Answer unavailable() {
    return new Answer(503, MAPPER.createObjectNode(), era);
  }

  private void respond(HttpExchange exchange, Handler handler) throws IOException {
    Answer answer;
    try {
      byte[] request = exchange.getRequestBody().readAllBytes();
      JsonNode body = request.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(request);
      answer =
          unavailable
              ? unavailable()
              : handler.handle(parseQuery(exchange.getRequestURI().getRawQuery()), body);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      answer = unavailable();
    }
    byte[] bytes = answer.body().toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", Long.toString(answer.era()));
    exchange.sendResponseHeaders(answer.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static Map<String, String> parseQuery(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private synchronized Answer get(Map<String, String> query, JsonNode body) {
    Answer all = rows(query.get("table"), 0, false);
    String from = query.getOrDefault("from", "");
    ArrayNode page = MAPPER.createArrayNode();
    boolean truncated = false;
    for (JsonNode row : all.body().path("rows")) {
      boolean reached = row.path("key").textValue().compareTo(from) >= 0;
      truncated |= reached && page.size() >= pageRows;
      if (reached && page.size() < pageRows) {
        page.add(row);
      }
    }
    ((ObjectNode) all.body()).put("truncated", truncated).set("rows", page);
    return all;
  }

  private Answer feed(Map<String, String> query, JsonNode body) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long waitMillis = Long.parseLong(query.getOrDefault("wait_ms", "0"));
    Answer answer = changes(query.get("table"), after);
    while (answer.status() == 200
        && answer.body().path("rows").isEmpty()
        && waitMillis > 0
        && !unavailable) {
      Thread.sleep(FEED_POLL_MILLIS);
      waitMillis -= FEED_POLL_MILLIS;
      answer = changes(query.get("table"), after);
    }
    return answer;
  }

  private synchronized Answer changes(String table, long after) {
    return after > version
        ? new Answer(410, MAPPER.createObjectNode(), era)
        : rows(table, after, true);
  }

  private Answer rows(String table, long after, boolean withDeleted) {
    ObjectNode answer = MAPPER.createObjectNode().put("truncated", false).put("ver", version);
    answer.put("now_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    ArrayNode rows = answer.putArray("rows");
    tables
        .getOrDefault(table, new TreeMap<>())
        .forEach(
            (key, row) -> {
              if (row.version() > after && (row.value() != null || withDeleted)) {
                ObjectNode found = rows.addObject().put("table", table).put("key", key);
                found.put("value", row.value()).put("ver", row.version());
                found.put("deleted", row.value() == null);
              }
            });
    return new Answer(200, answer, era);
  }

  private synchronized Answer transact(Map<String, String> query, JsonNode body) {
    for (JsonNode expected : body.path("expected_rev")) {
      Row row =
          tables
              .getOrDefault(expected.path("table").asText(), new TreeMap<>())
              .get(expected.path("key").asText());
      long found = row == null || row.value() == null ? 0 : row.version();
      if (found != expected.path("ver").asLong()) {
        return new Answer(412, rows(expected.path("table").asText(), 0, false).body(), era);
      }
    }
    keepCopy();
    version++;
    for (JsonNode write : body.path("writes")) {
      tables
          .computeIfAbsent(write.path("table").asText(), name -> new TreeMap<>())
          .put(write.path("key").asText(), new Row(write.path("value").asText(), version));
    }
    return new Answer(200, MAPPER.createObjectNode().put("ver", version), era);
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
