package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Machines of the system have been removed over time, each after a SIGTERM. Then the processes on
 * the three that are left are all killed at once and start again. Of the requests that are sent later
 * than {@code recovery_s} after that, at least a quarter must be served. With {@code FORMER=0} no
 * machines were removed before.
 */
final class FormerRelays {
  private static final int BATCHES = 3;
  private static final int BATCH = 10;
  private static final int REQUESTS_PER_SECOND = 20;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long MEASURED_MILLIS = 16_000;

  private FormerRelays() {}

  private record Outcome(long sentNanos, boolean served) {}

  static boolean held(Record record, Path folder, boolean trouble) throws Exception {
    try (Processes processes = new Processes(folder)) {
      Store store = new Store(record);
      store.put("op", "config", Manifest.modelText(1));
      for (int number = 1; number <= 2; number++) {
        processes.start(
            line -> record.line("replica: " + line),
            "review.ModelReplica",
            "i-" + number,
            "model",
            Integer.toString(store.port()));
      }
      int[] ports = new int[3];
      Processes.Relay[] relays = new Processes.Relay[3];
      for (int index = 0; index < 3; index++) {
        ports[index] = Processes.freePort();
        relays[index] = processes.relay("front-" + (index + 1), store.port(), ports[index], true);
      }
      for (Processes.Relay relay : relays) {
        relay.awaitReady();
      }
      if (!"0".equals(System.getenv("FORMER"))) {
        removeMachines(record, processes, store);
      }
      Thread.sleep(8_000);
      List<Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
      ExecutorService clients = Executors.newCachedThreadPool();
      long startNanos = System.nanoTime();
      Thread load = new Thread(() -> send(record, clients, ports, outcomes));
      load.setDaemon(true);
      load.start();
      Thread.sleep(9_000);
      long faultNanos = System.nanoTime();
      if (trouble) {
        for (Processes.Relay relay : relays) {
          relay.process().destroyForcibly();
        }
        record.line("SIGKILL to all relays");
        for (Processes.Relay relay : relays) {
          relay.process().waitFor();
        }
        Thread.sleep(700);
        for (int index = 0; index < 3; index++) {
          relays[index] =
              processes.relay("front-" + (index + 1), store.port(), ports[index], true);
        }
      }
      long backNanos = System.nanoTime();
      record.line(trouble ? "all relays start again" : "no fault");
      Thread.sleep(RECOVERY_MILLIS + MEASURED_MILLIS);
      load.interrupt();
      clients.shutdown();
      clients.awaitTermination(15, TimeUnit.SECONDS);
      long fromNanos = backNanos + TimeUnit.MILLISECONDS.toNanos(RECOVERY_MILLIS);
      double before = served(outcomes, startNanos, faultNanos - TimeUnit.SECONDS.toNanos(2));
      double after = served(outcomes, fromNanos, Long.MAX_VALUE);
      record.line("served before the fault: %.3f; later than 12 s after it: %.3f".formatted(before, after));
      if (before < 0.25) {
        throw new Processes.CannotRun("too few requests were served before the fault");
      }
      if (after < 0.25) {
        record.line("RECOVER: less than a quarter is served");
      }
      return after >= 0.25;
    }
  }

  private static void removeMachines(Record record, Processes processes, Store store)
      throws Exception {
    for (int batch = 1; batch <= BATCHES; batch++) {
      List<Processes.Relay> leaving = new ArrayList<>();
      for (int number = 1; number <= BATCH; number++) {
        String name = "front-former-" + batch + "-" + number;
        leaving.add(processes.relay(name, store.port(), Processes.freePort(), true));
      }
      for (Processes.Relay relay : leaving) {
        relay.awaitReady();
      }
      Thread.sleep(1_000);
      for (Processes.Relay relay : leaving) {
        relay.process().destroy();
      }
      for (Processes.Relay relay : leaving) {
        relay.process().waitFor();
      }
      record.line(BATCH + " machines got SIGTERM, ended and are removed");
    }
  }

  private static double served(List<Outcome> outcomes, long fromNanos, long toNanos) {
    synchronized (outcomes) {
      List<Outcome> within =
          outcomes.stream()
              .filter(one -> one.sentNanos() >= fromNanos && one.sentNanos() < toNanos)
              .toList();
      return within.stream().filter(Outcome::served).count() / (double) Math.max(1, within.size());
    }
  }

  private static void send(
      Record record, ExecutorService clients, int[] ports, List<Outcome> outcomes) {
    int sent = 0;
    try {
      while (true) {
        for (int port : ports) {
          String id = "%016x".formatted(++sent);
          clients.execute(() -> outcomes.add(sendOne(record, port, id)));
        }
        Thread.sleep(1_000 / REQUESTS_PER_SECOND);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static Outcome sendOne(Record record, int port, String id) {
    long sentNanos = System.nanoTime();
    try {
      Http.Answer answer =
          Http.send(
              port,
              "POST",
              "/ask/1",
              id,
              20_000,
              Http.bodyOf(id, 800),
              "Model: m\r\nToken-Counts: 770,210\r\nPrompt-Prefix: " + id.substring(8) + ":770\r\n");
      boolean served = answer != null && answer.status() == 200 && answer.signed() && answer.complete();
      record.line(sentNanos, id + " gets " + (answer == null ? "a closed channel" : answer));
      return new Outcome(sentNanos, served);
    } catch (IOException failure) {
      record.line(sentNanos, id + " fails: " + failure);
      return new Outcome(sentNanos, false);
    }
  }
}
