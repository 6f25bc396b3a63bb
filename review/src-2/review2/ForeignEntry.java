package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Another writer puts an entry with missing fields under the id of a replica. */
final class ForeignEntry {
  private ForeignEntry() {}

  static int run(Path record) throws Exception {
    try (Case run = new Case(record)) {
      Store store = run.open(new Store());
      store.put(
          "op",
          "config",
          Case.manifest(
              1,
              List.of(
                  Case.route("order", "/order/", "non_idempotent", "bakken-app", 1),
                  Case.route("bill", "/bill/", "non_idempotent", "other-app", 1)),
              "[{\"name\":\"depot\",\"api_keys\":[\"key1\"]}]"));
      List<Replica> bins = new ArrayList<>();
      List<Replica> bills = new ArrayList<>();
      for (String zone : List.of("groningen", "assen", "leeuwarden")) {
        bins.add(run.open(new Replica(store, "i-" + zone, "bakken-app", zone, 30, "")));
        bills.add(run.open(new Replica(store, "j-" + zone, "other-app", zone, 30, "")));
      }
      List<Relay> relays = new ArrayList<>();
      for (String zone : List.of("groningen", "assen")) {
        Relay relay = run.open(new Relay(run.folder, "front-" + zone, zone, store.address(), true));
        relay.start();
        relays.add(relay);
      }
      for (Relay relay : relays) {
        relay.awaitReady();
        run.clients(relay, "bins.example", "/order/x", "key1", 80);
        run.clients(relay, "bins.example", "/bill/x", "key1", 80);
      }
      double base = run.seconds(System.nanoTime());
      for (int number = 0; number < 5; number++) {
        run.sleepUntil(base + 4 + 3 * number);
        Replica overwritten = bins.get(number % bins.size());
        if (run.trouble) {
          store.put(
              "servers",
              overwritten.id,
              "{\"service\":\"other-app\",\"address\":\"%s\",\"zone\":\"assen\",\"slots\":6,\"state\":\"ready\",\"sequence\":1}"
                  .formatted(overwritten.server.address()));
          run.log(
              "another writer overwrites the entry of %s; its own has no version, no"
                  + " cold_remaining_ms and no born",
              overwritten.id);
        }
      }
      run.sleepUntil(base + 20);
      run.stopTraffic();
      run.sleepUntil(base + 22);
      long wrong = 0;
      for (Replica replica : bins) {
        wrong += replica.arrivals.stream().filter(ran -> !ran.path().startsWith("/order/")).count();
      }
      for (Replica replica : bills) {
        wrong += replica.arrivals.stream().filter(ran -> !ran.path().startsWith("/bill/")).count();
      }
      run.logRequests();
      bins.forEach(run::logArrivals);
      bills.forEach(run::logArrivals);
      run.log("requests run by a service to which no manifest lets them go: %d", wrong);
      System.out.println("wrong service: " + wrong);
      return wrong > 0 ? 1 : 0;
    }
  }
}
