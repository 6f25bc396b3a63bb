package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A replica that has left is used again after two of its check-ins were performed late. */
final class LateCheckIns {
  private LateCheckIns() {}

  static int run(Path record) throws Exception {
    try (Case run = new Case(record)) {
      Store store = run.open(new Store());
      store.put(
          "op",
          "config",
          Case.manifest(
              1,
              List.of(Case.route("order", "/order/", "non_idempotent", "bakken-app", 1)),
              "[{\"name\":\"depot\",\"api_keys\":[\"key1\"]}]"));
      List<Replica> replicas = new ArrayList<>();
      for (String zone : List.of("groningen", "assen", "leeuwarden")) {
        replicas.add(run.open(new Replica(store, "i-" + zone, "bakken-app", zone, 40, "")));
      }
      Replica leaver = replicas.get(2);
      List<Relay> relays = new ArrayList<>();
      for (String zone : List.of("groningen", "assen")) {
        Relay relay = run.open(new Relay(run.folder, "front-" + zone, zone, store.address(), true));
        relay.start();
        relays.add(relay);
      }
      for (Relay relay : relays) {
        relay.awaitReady();
        run.clients(relay, "bins.example", "/order/x", "key1", 60);
      }
      long start = System.nanoTime();
      double base = run.seconds(start);
      // Two check-ins get no answer; the store may perform them 1 to 6 s later.
      run.sleepUntil(base + 2.0);
      long lost1 = leaver.skipCheckIn();
      run.log("check-in %d of %s gets no answer", lost1, leaver.id);
      run.sleepUntil(base + 3.2);
      long lost2 = leaver.skipCheckIn();
      run.log("check-in %d of %s gets no answer", lost2, leaver.id);
      run.sleepUntil(base + 6.6);
      leaver.leave();
      long left = System.nanoTime();
      run.log("%s has left: its entry is removed, it goes on serving", leaver.id);
      run.sleepUntil(base + 7.5);
      if (run.trouble) {
        store.put("servers", leaver.id, leaver.row(lost1));
        run.log("the store performs check-in %d", lost1);
      }
      run.sleepUntil(base + 8.6);
      if (run.trouble) {
        store.put("servers", leaver.id, leaver.row(lost2));
        run.log("the store performs check-in %d", lost2);
      }
      run.sleepUntil(base + 10.9);
      leaver.close();
      run.log("%s exits", leaver.id);
      run.sleepUntil(base + 12.2);
      store.remove("servers", leaver.id);
      run.log("the entry of %s is removed after three intervals of silence", leaver.id);
      run.sleepUntil(base + 14);
      run.stopTraffic();
      run.sleepUntil(base + 16);
      long late =
          leaver.arrivals.stream().filter(arrival -> arrival.nanos() - left > 2_300_000_000L).count();
      long lost =
          leaver.arrivals.stream()
              .filter(arrival -> run.sent.get(arrival.attempt()).status != 200)
              .count();
      run.logRequests();
      replicas.forEach(run::logArrivals);
      run.log("requests at %s more than 2.3 s after its removal: %d", leaver.id, late);
      run.log("requests that %s ran and that were not answered 200: %d", leaver.id, lost);
      System.out.println("late requests: " + late + ", lost: " + lost);
      return late > 0 ? 1 : 0;
    }
  }
}
