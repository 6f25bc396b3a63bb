package review;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Replicas leave without reporting {@code draining}: their entries are removed, and they go on
 * serving for 5 s. Another writer then writes bytes that cannot be read under their ids. Requests
 * must not reach such a replica later than {@code drain_ms} after its entry was removed.
 */
final class UnreadableEntry {
  private static final int LEAVING = 3;
  private static final byte[] UNREADABLE = {0x00, (byte) 0xff, 0x17, 'x', '{'};

  private UnreadableEntry() {}

  static boolean held(Record record, Path folder, boolean trouble) throws Exception {
    try (Processes processes = new Processes(folder)) {
      Store store = new Store(record);
      store.put("op", "config", Manifest.text(1));
      Orders orders = new Orders(record);
      Map<String, Process> replicas = new HashMap<>();
      for (int number = 1; number <= LEAVING + 2; number++) {
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
      orders.start(4, 10, relay.callers());
      Thread.sleep(1_500);
      for (int number = 1; number <= LEAVING; number++) {
        String id = "i-" + number;
        Processes.tell(replicas.get(id), "leave");
        while (!store.removed("servers", id)) {
          Thread.sleep(1);
        }
        orders.left(id);
        if (trouble) {
          store.put("servers", id, UNREADABLE);
          record.line("another writer writes bytes that can't be read to servers/" + id);
        }
        Thread.sleep(300);
      }
      return orders.held();
    }
  }
}
