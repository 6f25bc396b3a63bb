package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What the cases share: the record, the clients and the manifest. */
final class Case implements AutoCloseable {
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder = Files.createTempDirectory("review-2-");
  final List<AutoCloseable> opened = new java.util.concurrent.CopyOnWriteArrayList<>();
  final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private final Queue<String> lines = new ConcurrentLinkedQueue<>();
  private final Path record;
  private final long startNanos = System.nanoTime();
  private volatile boolean traffic = true;
  private int nextClient;

  /** A request of a client and its answer; status 0 is a channel that ended without an answer. */
  static final class Sent {
    final String attempt;
    final String relay;
    final long sentNanos = System.nanoTime();
    volatile int status = -1;
    volatile String body = "";

    Sent(String attempt, String relay) {
      this.attempt = attempt;
      this.relay = relay;
    }
  }

  Case(Path record) throws IOException {
    this.record = record;
    Runtime.getRuntime().addShutdownHook(new Thread(this::endRelays));
  }

  /** Ends the relays if the case itself is ended from outside. */
  private void endRelays() {
    for (AutoCloseable part : List.copyOf(opened)) {
      if (part instanceof Relay relay) {
        relay.end();
      }
    }
  }

  <T extends AutoCloseable> T open(T part) {
    opened.add(part);
    return part;
  }

  double seconds(long nanos) {
    return (nanos - startNanos) / 1e9;
  }

  void log(String format, Object... values) {
    lines.add(
        String.format(Locale.ROOT, "%8.3f ", seconds(System.nanoTime()))
            + String.format(Locale.ROOT, format, values));
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(Math.max(0, millis));
  }

  void sleepUntil(double second) throws InterruptedException {
    sleep((long) (second * 1_000) - (System.nanoTime() - startNanos) / 1_000_000);
  }

  /** Sends requests to one relay at regular times, each on a new channel. */
  void clients(Relay relay, String host, String path, String key, long everyMillis) {
    int client = nextClient++;
    Http.daemon(
        () -> {
          for (int number = 0; traffic; number++) {
            String attempt = "c%d-%05d".formatted(client, number);
            Http.daemon(() -> request(relay, attempt, host, path, key));
            try {
              Thread.sleep(everyMillis);
            } catch (InterruptedException ended) {
              return;
            }
          }
        });
  }

  Sent request(Relay relay, String attempt, String host, String path, String key) {
    Sent request = new Sent(attempt, relay.vm);
    sent.put(attempt, request);
    try {
      Http.Message answer =
          Http.call(
              relay.callers,
              "POST",
              path,
              "{\"order\":\"" + attempt + "\"}",
              4_000,
              "Host: " + host,
              "Attempt-Id: " + attempt,
              "Deadline-Ms: 1500",
              "Authorization: Token " + key);
      request.body = answer == null ? "" : answer.text();
      request.status = answer == null ? 0 : answer.status();
    } catch (IOException failed) {
      request.status = 0;
      request.body = failed.toString();
    }
    return request;
  }

  void stopTraffic() {
    traffic = false;
  }

  /** Writes all requests and their answers to the record. */
  void logRequests() {
    Map<String, Integer> outcomes = new java.util.TreeMap<>();
    sent.values().stream()
        .sorted((left, right) -> Long.compare(left.sentNanos, right.sentNanos))
        .forEach(
            request -> {
              outcomes.merge(request.relay + " " + request.status, 1, Integer::sum);
              lines.add(
                  String.format(
                      Locale.ROOT,
                      "%8.3f sent %s to %s, answered %d %s",
                      seconds(request.sentNanos),
                      request.attempt,
                      request.relay,
                      request.status,
                      request.body));
            });
    lines.add("answers by relay and status: " + outcomes);
  }

  void logArrivals(Replica replica) {
    for (Replica.Arrival arrival : replica.arrivals) {
      lines.add(
          String.format(
              Locale.ROOT,
              "%8.3f run %s at %s for %s",
              seconds(arrival.nanos()),
              arrival.attempt(),
              replica.id,
              arrival.path()));
    }
  }

  static String route(String name, String prefix, String kind, String service, int attempts) {
    return "{\"name\":\"%s\",\"host\":\"bins.example\",\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"%s\",\"max_attempts\":%d,\"public\":false,\"sticky\":false,\"resumable\":false}"
        .formatted(name, prefix, kind, service, attempts);
  }

  static final String STREAM_ROUTE =
      "{\"name\":\"brief\",\"host\":\"bins.example\",\"prefix\":\"/brief/\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"zinnia-pool\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":250}";

  /** A manifest like that of a small deployment, with the given routes and keys. */
  static String manifest(int version, List<String> routes, String keys) {
    return "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"zinnia-pool\",\"health_path\":\"/health\",\"max_connections\":898,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":134,\"kv_capacity_tokens\":69791,\"kv_token_bytes\":845373,\"link_mbps\":400000.0,\"stride\":4,\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"load_s\":14.0,\"warm_s\":1.0}],\"step_ms\":1.02,\"per_seq_ms\":0.0066,\"context_per_k\":0.0088,\"read_per_s\":164000.0,\"pairs_per_m\":0.199,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":774,\"answer\":210},\"layers\":80,\"layer_mb\":1750.0,\"activation_bytes\":42268,\"pipe_mbps\":19000.0,\"kinds\":[{\"name\":\"a100\",\"megabytes\":72000.0,\"pace\":2.4,\"read_x\":3.2}]}},{\"name\":\"bakken-app\",\"health_path\":\"/health\",\"max_connections\":69,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"other-app\",\"health_path\":\"/health\",\"max_connections\":69,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":%s}"
        .formatted(version, String.join(",", routes), keys);
  }

  /** Ends all processes and writes the record. */
  @Override
  public void close() throws Exception {
    for (AutoCloseable part : opened) {
      part.close();
    }
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record))) {
      lines.forEach(out::println);
    }
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } else {
      System.out.println("logs in " + folder);
    }
  }
}
