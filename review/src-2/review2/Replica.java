package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/**
 * Stand-in for a replica: a plain one that answers calls, or a model replica of which only the row
 * and the report are needed. It checks in at the store every 1.2 s.
 */
final class Replica implements AutoCloseable {
  static final long CHECK_IN_MILLIS = 1_200;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;

  final String id;
  final String service;
  final Http.Server server;
  final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private final Store store;
  private final String zone;
  private final String extra;
  private final long workMillis;
  private final long born = System.currentTimeMillis();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private long sequence;
  private volatile String state = "ready";
  private volatile boolean checksIn = true;

  /** A request that the replica began to run. */
  record Arrival(long nanos, String attempt, String path) {}

  Replica(Store store, String id, String service, String zone, long workMillis, String extra)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.workMillis = workMillis;
    this.extra = extra;
    this.server = new Http.Server(this::handle);
    checkIn();
    Http.daemon(this::checkInRegularly);
  }

  private void checkInRegularly() {
    try {
      Thread.sleep((long) (Math.random() * CHECK_IN_MILLIS));
      while (checksIn) {
        checkIn();
        Thread.sleep(CHECK_IN_MILLIS);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void checkIn() {
    if (checksIn) {
      sequence++;
      store.put("servers", id, row(sequence));
    }
  }

  String row(long number) {
    return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":%d%s}"
        .formatted(service, server.address(), zone, SLOTS, state, number, born, extra);
  }

  /** Counts a check-in whose write gets no answer, and returns its number. */
  synchronized long skipCheckIn() {
    return ++sequence;
  }

  synchronized void drain() {
    state = "draining";
    checkIn();
  }

  /** Leaves without reporting that it drains: the entry goes, and the replica goes on serving. */
  synchronized void leave() {
    checksIn = false;
    store.remove("servers", id);
  }

  private boolean handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
    String attempt = request.headers.getOrDefault("Attempt-Id", "");
    String echo = "Attempt-Id: " + attempt;
    String expected = request.headers.getOrDefault("Expect-Replica", id);
    if (!expected.equals(id)) {
      Http.answer(out, 421, "", "Replica-Id: " + id, "Not-Executed: 1", echo);
      return true;
    }
    if (request.path().equals("/report")) {
      Http.answer(
          out,
          200,
          "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":%d}"
              .formatted(born),
          "Content-Type: application/json");
      return true;
    }
    if (request.path().equals("/health")) {
      Http.answer(out, checksIn ? 200 : 503, "", "Replica-Id: " + id);
      return true;
    }
    if (request.path().equals("/order")) {
      Http.answer(out, 409, "{}");
      return true;
    }
    if (!slots.tryAcquire() && (slots.getQueueLength() >= QUEUE || !acquire())) {
      Http.answer(out, 503, "", "Not-Executed: 1", echo);
      return true;
    }
    try {
      arrivals.add(
          new Arrival(System.nanoTime(), attempt, request.path()));
      Thread.sleep(workMillis);
      Http.answer(
          out,
          200,
          "{\"by\":\"%s\",\"request\":\"%s\"}".formatted(id, attempt),
          echo,
          "Replica-Signature: " + id + "." + attempt);
    } finally {
      slots.release();
    }
    return true;
  }

  private boolean acquire() throws InterruptedException {
    slots.acquire();
    return true;
  }

  /** Exits: the port and all connections are closed. */
  @Override
  public void close() throws IOException {
    checksIn = false;
    server.close();
  }
}
