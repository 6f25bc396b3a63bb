package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send orders one after the other, and the check of DRAIN on what replicas ran: no
 * request later than {@code drain_ms} after the store accepted that the replica is leaving.
 */
final class Orders {
  private static final long DRAIN_MILLIS = 2_000;
  private static final int MAX_LINES = 10;

  private final Record record;
  private final Map<String, Long> leftNanos = new ConcurrentHashMap<>();
  private final Map<String, Integer> runs = new TreeMap<>();
  private final List<String> late = new ArrayList<>();
  private long latestMillis;
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean stopped;
  private final ExecutorService clients = Executors.newCachedThreadPool();

  Orders(Record record) {
    this.record = record;
  }

  /** Records that the store has accepted that a replica is draining or gone. */
  void left(String id) {
    leftNanos.put(id, System.nanoTime());
  }

  /** Receives a line that a replica prints. */
  void replicaPrints(String line) {
    String[] words = line.split(" ");
    long atNanos = Long.parseLong(words[0]);
    record.line(atNanos, "replica: " + line.substring(line.indexOf(' ') + 1));
    if (words.length != 5 || !words[1].equals("run")) {
      return;
    }
    String id = words[4];
    synchronized (late) {
      runs.merge(id, 1, Integer::sum);
      Long left = leftNanos.get(id);
      long sinceMillis = left == null ? 0 : (atNanos - left) / 1_000_000;
      latestMillis = Math.max(latestMillis, sinceMillis);
      if (sinceMillis > DRAIN_MILLIS) {
        late.add(
            "request %s reaches %s %d ms after the store accepted that it leaves"
                .formatted(words[2], id, sinceMillis));
      }
    }
  }

  /** Starts clients that send through each of the relays. */
  void start(int clientsPerRelay, int seconds, int... ports) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (int client = 0; client < clientsPerRelay * ports.length; client++) {
      int number = client;
      clients.execute(() -> send(ports[number % ports.length], number, endNanos));
    }
  }

  private void send(int port, int client, long endNanos) {
    int sent = 0;
    while (!stopped && System.nanoTime() - endNanos < 0) {
      String id = "%08x%08x".formatted(client + 1, ++sent);
      try {
        Http.Answer answer = Http.send(port, "POST", "/order/1", id, 1_500, Http.bodyOf(id, 600));
        if (answer == null || answer.status() != 200) {
          lost.incrementAndGet();
          record.line("client: " + id + " gets " + (answer == null ? "a closed channel" : answer));
        }
        Thread.sleep(25);
      } catch (IOException failure) {
        lost.incrementAndGet();
        record.line("client: " + id + " fails: " + failure);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Lets the clients send no further orders. */
  void stop() {
    stopped = true;
  }

  /** Waits for the end of the clients and returns whether the rule held. */
  boolean held() throws InterruptedException {
    clients.shutdown();
    clients.awaitTermination(60, TimeUnit.SECONDS);
    synchronized (late) {
      record.line("runs by replica: " + runs + "; too late: " + late.size());
      late.stream().limit(MAX_LINES).forEach(line -> record.line("DRAIN: " + line));
      record.line("latest request at a replica that leaves: " + latestMillis + " ms after that");
      record.line("orders without a success: " + lost);
      return late.isEmpty();
    }
  }
}
