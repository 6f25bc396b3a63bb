package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One of three relays is cut off from the store for some seconds. As it returns, replicas leave
 * without reporting {@code draining}. The other two relays, which were never disturbed, must not
 * send requests to such a replica later than {@code drain_ms} after its entry was removed.
 */
final class CutRelayReturns {
  private static final int LEAVING = 6;
  private static final long MAX_CUT_MILLIS = 5_000;
  private static final int MAX_CUTS = 4;

  private CutRelayReturns() {}

  static boolean held(Record record, Path folder, boolean trouble) throws Exception {
    try (Processes processes = new Processes(folder)) {
      Store store = new Store(record);
      store.put("op", "config", Manifest.text(1));
      Proxy proxy = new Proxy(store.port());
      Orders orders = new Orders(record);
      Map<String, Process> replicas = new HashMap<>();
      for (int number = 1; number <= LEAVING + 2; number++) {
        String id = "i-" + number;
        replicas.put(
            id,
            processes.replica(
                orders::replicaPrints, id, "app", Integer.toString(store.port()), "plain", "2150"));
      }
      Processes.Relay cut = processes.relay("front-1", proxy.port(), Processes.freePort(), true);
      Processes.Relay second = processes.relay("front-2", store.port(), Processes.freePort(), true);
      Processes.Relay third = processes.relay("front-3", store.port(), Processes.freePort(), true);
      cut.awaitReady();
      second.awaitReady();
      third.awaitReady();
      Thread.sleep(12_000);
      orders.start(12, 60, second.callers(), third.callers());
      Thread.sleep(1_000);
      if (trouble) {
        cutUntilNoticed(record, proxy, folder.resolve("front-1.log"));
      } else {
        Thread.sleep(2_000);
      }
      for (int number = 1; number <= LEAVING; number++) {
        String id = "i-" + number;
        Processes.tell(replicas.get(id), "leave");
        while (!store.removed("servers", id)) {
          Thread.sleep(1);
        }
        orders.left(id);
        Thread.sleep(30);
        if (trouble && number == LEAVING / 2) {
          proxy.heal();
          record.line("the cut has healed");
        }
      }
      Thread.sleep(5_000);
      orders.stop();
      return orders.held();
    }
  }

  /**
   * Cuts a relay off from the store until it has noticed. While the others tell it what they read,
   * it does not notice each time; then the cut heals after {@value #MAX_CUT_MILLIS} ms, and another
   * one comes 4 s later.
   */
  private static void cutUntilNoticed(Record record, Proxy proxy, Path log) throws Exception {
    for (int cut = 1; cut <= MAX_CUTS; cut++) {
      proxy.cut();
      record.line("front-1 is cut off from the store");
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_CUT_MILLIS);
      while (System.nanoTime() - endNanos < 0) {
        if (Files.readString(log).contains("\"store-lost\"")) {
          return;
        }
        Thread.sleep(5);
      }
      proxy.heal();
      record.line("the cut has healed, unnoticed");
      Thread.sleep(4_000);
    }
    throw new Processes.CannotRun("front-1 noticed none of the cuts");
  }
}
