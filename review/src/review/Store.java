package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store: linearizable rows, transactions, range reads and the change
 * feed of PROTOCOL.md. Replicas and the operator write through the Java methods or through {@code
 * /internal-put} and {@code /internal-remove}, which are not part of the platform's interface.
 */
final class Store {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private record Row(byte[] value, long ver) {}

  private record Answer(int status, JsonNode body) {}

  private interface Handler {
    Answer handle(Map<String, String> query, JsonNode body) throws Exception;
  }

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final HttpServer server;
  private final Record record;
  private long version = 1;
  private volatile String lateKey;
  private volatile long lateMillis;

  Store(Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/rows-get", exchange -> respond(exchange, (q, b) -> get(q)));
    server.createContext("/rows-feed", exchange -> respond(exchange, (q, b) -> feed(q)));
    server.createContext("/rows-tx", exchange -> respond(exchange, (q, b) -> transact(b)));
    server.createContext(
        "/internal-put",
        exchange ->
            respond(
                exchange,
                (q, b) -> {
                  if (q.get("key").equals(lateKey)) {
                    putLate(q.get("table"), q.get("key"), b.toString());
                  }
                  put(q.get("table"), q.get("key"), b.toString());
                  return new Answer(200, MAPPER.createObjectNode());
                }));
    server.createContext(
        "/internal-remove",
        exchange ->
            respond(
                exchange,
                (q, b) -> {
                  remove(q.get("table"), q.get("key"));
                  return new Answer(200, MAPPER.createObjectNode());
                }));
    server.start();
  }

  /** Lets the next write to a row get no answer; it is performed after some time. */
  void loseNextWrite(String key, long millis) {
    lateMillis = millis;
    lateKey = key;
  }

  private void putLate(String table, String key, String text) throws IOException {
    lateKey = null;
    record.line("store: a write to " + table + "/" + key + " gets no answer: " + text);
    Thread late =
        new Thread(
            () -> {
              try {
                Thread.sleep(lateMillis);
                put(table, key, text);
                record.line("store: that write to " + table + "/" + key + " is performed");
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
              }
            });
    late.setDaemon(true);
    late.start();
    throw new LostAnswer();
  }

  private static final class LostAnswer extends IOException {
    private static final long serialVersionUID = 1L;
  }

  /** Waits until the write was lost that {@link #loseNextWrite} asked for. */
  void awaitLostWrite() throws InterruptedException {
    while (lateKey != null) {
      Thread.sleep(1);
    }
  }

  /** Waits until a row contains a text. */
  void awaitText(String table, String key, String text) throws InterruptedException {
    while (!contains(table, key, text)) {
      Thread.sleep(1);
    }
  }

  private synchronized boolean contains(String table, String key, String text) {
    Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
    return row != null
        && row.value() != null
        && new String(row.value(), StandardCharsets.UTF_8).contains(text);
  }

  int port() {
    return server.getAddress().getPort();
  }

  long put(String table, String key, String text) {
    return put(table, key, text.getBytes(StandardCharsets.UTF_8));
  }

  synchronized long put(String table, String key, byte[] value) {
    tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(value, ++version));
    notifyAll();
    return version;
  }

  synchronized long remove(String table, String key) {
    Row row = tables.computeIfAbsent(table, name -> new TreeMap<>()).get(key);
    if (row != null && row.value() != null) {
      tables.get(table).put(key, new Row(null, ++version));
      notifyAll();
      record.line("store: row " + table + "/" + key + " is removed");
    }
    return version;
  }

  synchronized boolean removed(String table, String key) {
    Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
    return row == null || row.value() == null;
  }

  private void respond(HttpExchange exchange, Handler handler) throws IOException {
    Answer answer;
    try {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      JsonNode body = bytes.length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(bytes);
      answer = handler.handle(query(exchange.getRequestURI().getRawQuery()), body);
    } catch (LostAnswer lost) {
      exchange.close();
      return;
    } catch (Exception failure) {
      answer = new Answer(400, MAPPER.createObjectNode().put("error", failure.toString()));
    }
    byte[] bytes = answer.body().toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private synchronized Answer get(Map<String, String> query) {
    String from = query.getOrDefault("from", "");
    String to = query.get("to");
    ArrayNode rows = MAPPER.createArrayNode();
    tables
        .getOrDefault(query.get("table"), new TreeMap<>())
        .tailMap(from)
        .forEach(
            (key, row) -> {
              if (row.value() != null && (to == null || key.compareTo(to) < 0)) {
                rows.add(node(query.get("table"), key, row));
              }
            });
    ObjectNode body = envelope();
    body.put("truncated", false);
    body.set("rows", rows);
    return new Answer(200, body);
  }

  private synchronized Answer feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    while (true) {
      List<Map.Entry<String, Row>> changed = new ArrayList<>();
      tables
          .getOrDefault(query.get("table"), new TreeMap<>())
          .entrySet()
          .forEach(
              entry -> {
                if (entry.getValue().ver() > after) {
                  changed.add(Map.entry(entry.getKey(), entry.getValue()));
                }
              });
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || leftMillis <= 0) {
        changed.sort(Comparator.comparingLong(entry -> entry.getValue().ver()));
        ArrayNode rows = MAPPER.createArrayNode();
        changed.forEach(entry -> rows.add(node(query.get("table"), entry.getKey(), entry.getValue())));
        ObjectNode body = envelope();
        body.set("rows", rows);
        return new Answer(200, body);
      }
      wait(leftMillis);
    }
  }

  private ObjectNode envelope() {
    return MAPPER.createObjectNode().put("ver", version).put("now_ms", System.nanoTime() / 1_000_000);
  }

  private static ObjectNode node(String table, String key, Row row) {
    ObjectNode node =
        MAPPER.createObjectNode().put("table", table).put("part", "").put("key", key).put("ver", row.ver());
    if (row.value() == null) {
      node.put("deleted", true);
    } else {
      node.put("value", Base64.getEncoder().encodeToString(row.value()));
    }
    return node;
  }

  private synchronized Answer transact(JsonNode body) {
    boolean fits = true;
    ArrayNode current = MAPPER.createArrayNode();
    for (JsonNode expected : body.path("expected_rev")) {
      String table = expected.path("table").asText();
      String key = expected.path("key").asText();
      Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
      long found = row == null || row.value() == null ? 0 : row.ver();
      fits &= found == expected.path("ver").asLong();
      if (found != 0) {
        current.add(node(table, key, row));
      }
    }
    if (!fits) {
      ObjectNode answer = envelope();
      answer.set("rows", current);
      return new Answer(412, answer);
    }
    version++;
    for (JsonNode write : body.path("writes")) {
      tables
          .computeIfAbsent(write.path("table").asText(), name -> new TreeMap<>())
          .put(
              write.path("key").asText(),
              new Row(Base64.getDecoder().decode(write.path("value").asText()), version));
    }
    for (JsonNode removed : body.path("remove")) {
      tables
          .computeIfAbsent(removed.path("table").asText(), name -> new TreeMap<>())
          .put(removed.path("key").asText(), new Row(null, version));
    }
    notifyAll();
    return new Answer(200, envelope());
  }
}
