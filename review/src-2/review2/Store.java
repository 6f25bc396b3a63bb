package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: rows, transactions on one part and the feed. */
final class Store implements AutoCloseable {
  /** Time of a call, as on the users' sheets. */
  private static final long CALL_MILLIS = 4;

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final Http.Server server;
  private long version = 1;

  private record Row(String key, String value, long version) {}

  Store() throws IOException {
    server = new Http.Server(this::handle);
  }

  String address() {
    return server.address();
  }

  /** Writes a row as the operator or a replica does and returns its version. */
  synchronized long put(String table, String key, String json) {
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new Row(key, value, ++version));
    notifyAll();
    return version;
  }

  /** Removes a row; the feed shows the removal. */
  synchronized void remove(String table, String key) {
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new Row(key, null, ++version));
    notifyAll();
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
    Thread.sleep(CALL_MILLIS);
    switch (request.path()) {
      case "/rows-get" -> Http.answer(out, 200, get(request), "Content-Type: application/json");
      case "/rows-feed" -> Http.answer(out, 200, feed(request), "Content-Type: application/json");
      case "/rows-tx" -> transact(request, out);
      default -> Http.answer(out, 404, "{}");
    }
    return true;
  }

  private String rows(String table, List<Row> rows, boolean truncated) {
    StringBuilder text = new StringBuilder("{\"rows\":[");
    for (Row row : rows) {
      text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
          .append("{\"table\":")
          .append(Json.quote(table))
          .append(",\"part\":\"\",\"key\":")
          .append(Json.quote(row.key()))
          .append(
              row.value() == null
                  ? ",\"deleted\":true"
                  : ",\"value\":" + Json.quote(row.value()))
          .append(",\"ver\":")
          .append(row.version())
          .append("}");
    }
    return text.append("],\"truncated\":")
        .append(truncated)
        .append(",\"ver\":")
        .append(version)
        .append(",\"now_ms\":")
        .append(nowMillis())
        .append("}")
        .toString();
  }

  private synchronized String get(Http.Message request) {
    List<Row> found = new ArrayList<>();
    for (Row row : tables.getOrDefault(request.query("table"), new TreeMap<>()).values()) {
      if (row.value() != null && row.key().compareTo(request.query("from")) >= 0) {
        found.add(row);
      }
    }
    return rows(request.query("table"), found, false);
  }

  private synchronized String feed(Http.Message request) throws InterruptedException {
    long after = Long.parseLong(request.query("after"));
    long endMillis = nowMillis() + Long.parseLong(request.query("wait_ms"));
    List<Row> found = changes(request.query("table"), after);
    while (found.isEmpty() && nowMillis() < endMillis) {
      wait(Math.max(1, endMillis - nowMillis()));
      found = changes(request.query("table"), after);
    }
    return rows(request.query("table"), found, false);
  }

  private List<Row> changes(String table, long after) {
    List<Row> found = new ArrayList<>();
    for (Row row : tables.getOrDefault(table, new TreeMap<>()).values()) {
      if (row.version() > after) {
        found.add(row);
      }
    }
    found.sort(Comparator.comparingLong(Row::version));
    return found;
  }

  @SuppressWarnings("unchecked")
  private void transact(Http.Message request, OutputStream out) throws IOException {
    Map<String, Object> body = Json.object(request.text());
    int status;
    String answer;
    synchronized (this) {
      boolean holds = true;
      List<Row> present = new ArrayList<>();
      String table = "";
      for (Object entry : (List<Object>) body.get("expected_rev")) {
        Map<String, Object> row = (Map<String, Object>) entry;
        table = (String) row.get("table");
        Row found = tables.getOrDefault(table, new TreeMap<>()).get(row.get("key"));
        long known = found == null || found.value() == null ? 0 : found.version();
        if (known != 0) {
          present.add(found);
        }
        holds &= known == (Long) row.get("ver");
      }
      if (holds) {
        version++;
        for (Object entry : (List<Object>) body.get("writes")) {
          Map<String, Object> row = (Map<String, Object>) entry;
          tables
              .computeIfAbsent((String) row.get("table"), name -> new TreeMap<>())
              .put(
                  (String) row.get("key"),
                  new Row((String) row.get("key"), (String) row.get("value"), version));
        }
        notifyAll();
      }
      status = holds ? 200 : 412;
      answer = rows(table, holds ? List.of() : present, false);
    }
    Http.answer(out, status, answer, "Content-Type: application/json");
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
