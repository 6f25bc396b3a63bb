package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas leave without reporting {@code draining}: their entries are removed, and they go on
 * serving for 5 s. Another writer then writes bytes that cannot be read under their ids. Requests
 * must not reach such a replica later than {@code drain_ms} after its entry was removed.
 */
final class UnreadableEntry {
  private static final long DRAIN_MILLIS = 2_000;
  private static final int LEAVING = 3;
  private static final byte[] UNREADABLE = {0x00, (byte) 0xff, 0x17, 'x', '{'};

  private UnreadableEntry() {}

  static boolean held(Record record, Path folder, boolean trouble) throws Exception {
    try (Processes processes = new Processes(folder)) {
      Store store = new Store(record);
      store.put("op", "config", Manifest.text(1));
      List<String> late = new ArrayList<>();
      Map<String, Long> removedNanos = new ConcurrentHashMap<>();
      Map<String, Integer> runs = new HashMap<>();
      AtomicInteger lost = new AtomicInteger();
      Map<String, Process> replicas = new HashMap<>();
      for (int number = 1; number <= LEAVING + 2; number++) {
        String id = "i-" + number;
        replicas.put(
            id,
            processes.replica(
                line -> observe(record, line, removedNanos, runs, late),
                id,
                "app",
                Integer.toString(store.port()),
                "plain"));
      }
      Processes.Relay relay =
          processes.relay("front-1", store.port(), Processes.freePort(), false);
      relay.awaitReady();
      Thread.sleep(3_500);
      ExecutorService clients = Executors.newFixedThreadPool(8);
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      for (int client = 0; client < 4; client++) {
        int number = client;
        clients.execute(() -> send(record, relay.callers(), number, endNanos, lost));
      }
      Thread.sleep(1_500);
      for (int number = 1; number <= LEAVING; number++) {
        String id = "i-" + number;
        removedNanos.put(id, System.nanoTime());
        Processes.tell(replicas.get(id), "leave");
        while (removedNanos.get(id) > 0 && !store.removed("servers", id)) {
          Thread.sleep(1);
        }
        removedNanos.put(id, System.nanoTime());
        if (trouble) {
          store.put("servers", id, UNREADABLE);
          record.line("another writer writes bytes that can't be read to servers/" + id);
        }
        Thread.sleep(300);
      }
      clients.shutdown();
      clients.awaitTermination(30, TimeUnit.SECONDS);
      synchronized (late) {
        record.line("runs by replica: " + runs + "; too late: " + late.size());
        late.stream().limit(10).forEach(line -> record.line("DRAIN: " + line));
        record.line("orders without a success: " + lost);
        return late.isEmpty();
      }
    }
  }

  private static void observe(
      Record record,
      String line,
      Map<String, Long> removedNanos,
      Map<String, Integer> runs,
      List<String> late) {
    String[] words = line.split(" ");
    long atNanos = Long.parseLong(words[0]);
    record.line(atNanos, "replica: " + line.substring(line.indexOf(' ') + 1));
    if (words.length == 5 && words[1].equals("run")) {
      String id = words[4];
      long sinceMillis = (atNanos - removedNanos.getOrDefault(id, Long.MAX_VALUE)) / 1_000_000;
      synchronized (late) {
        runs.merge(id, 1, Integer::sum);
        if (removedNanos.containsKey(id) && sinceMillis > DRAIN_MILLIS) {
          late.add("request " + words[2] + " reaches " + id + " " + sinceMillis + " ms after its entry was removed");
        }
      }
    }
  }

  private static void send(Record record, int port, int client, long endNanos, AtomicInteger lost) {
    int sent = 0;
    while (System.nanoTime() - endNanos < 0) {
      String id = "%08x%08x".formatted(client + 1, ++sent);
      try {
        Http.Answer answer = Http.send(port, "POST", "/order/1", id, 1_500, new byte[600]);
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
}
