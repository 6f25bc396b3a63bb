package review;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * A check-in of a replica gets no answer from the store, which performs it 5 s later. Meanwhile
 * the replica has reported {@code draining} and checked in again. Requests must not reach it later
 * than {@code drain_ms} after the store accepted that report.
 */
final class LateCheckIn {
  private static final long LATE_MILLIS = 5_000;
  /** Service after the report: {@code drain_ms} and a little longer. */
  private static final long SERVED_MILLIS = 2_700;

  private static final long STABLE_WINDOW_MILLIS = 3_000;

  private LateCheckIn() {}

  static boolean held(Record record, Path folder, boolean trouble) throws Exception {
    try (Processes processes = new Processes(folder)) {
      Store store = new Store(record);
      store.put("op", "config", Manifest.text(1));
      Orders orders = new Orders(record);
      Map<String, Process> replicas = new HashMap<>();
      for (int number = 1; number <= 3; number++) {
        String id = "i-" + number;
        replicas.put(
            id,
            processes.replica(
                orders::replicaPrints, id, "app", Integer.toString(store.port()), "plain", "5000"));
      }
      Processes.Relay relay =
          processes.relay("front-1", store.port(), Processes.freePort(), false);
      relay.awaitReady();
      Thread.sleep(3_500);
      orders.start(4, 12, relay.callers());
      Thread.sleep(1_000);
      if (trouble) {
        store.loseNextWrite("i-1", LATE_MILLIS);
        store.awaitLostWrite();
      }
      Thread.sleep(STABLE_WINDOW_MILLIS + 300);
      Processes.tell(replicas.get("i-1"), "drain");
      store.awaitText("servers", "i-1", "\"draining\"");
      orders.left("i-1");
      Thread.sleep(SERVED_MILLIS);
      Processes.tell(replicas.get("i-1"), "exit");
      return orders.held();
    }
  }
}
