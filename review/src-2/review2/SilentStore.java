package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All channels to the store fall silent while new ones work; then the manifest moves a route and
 * withdraws a key.
 */
final class SilentStore {
  private SilentStore() {}

  static int run(Path record) throws Exception {
    try (Case run = new Case(record)) {
      Store store = run.open(new Store());
      String withdrawn = "key2";
      String keys = "[{\"name\":\"depot\",\"api_keys\":[\"key1\"]}]";
      String moreKeys = "[{\"name\":\"depot\",\"api_keys\":[\"key1\",\"key2\"]}]";
      store.put(
          "op",
          "config",
          Case.manifest(
              1,
              List.of(Case.route("order", "/order/", "non_idempotent", "bakken-app", 1)),
              moreKeys));
      List<Replica> replicas = new ArrayList<>();
      for (String zone : List.of("groningen", "assen", "leeuwarden")) {
        replicas.add(run.open(new Replica(store, "i-" + zone, "bakken-app", zone, 20, "")));
        replicas.add(run.open(new Replica(store, "j-" + zone, "other-app", zone, 20, "")));
      }
      List<Relay> relays = new ArrayList<>();
      List<Proxy> proxies = new ArrayList<>();
      int number = 0;
      for (String zone : List.of("groningen", "groningen", "assen", "leeuwarden")) {
        Proxy proxy = run.open(new Proxy(store.address()));
        proxies.add(proxy);
        Relay relay =
            run.open(
                new Relay(
                    run.folder, "front-" + zone + "-" + ++number, zone, proxy.address(), true));
        relay.start();
        relays.add(relay);
      }
      for (Relay relay : relays) {
        relay.awaitReady();
        run.clients(relay, "bins.example", "/order/moved", "key1", 40);
        run.clients(relay, "bins.example", "/order/withdrawn", withdrawn, 100);
      }
      double base = run.seconds(System.nanoTime());
      run.sleepUntil(base + 12);
      long silent = System.nanoTime();
      if (run.trouble) {
        for (int index = 0; index < proxies.size(); index++) {
          run.log(
              "%d channels of %s to the store fall silent",
              proxies.get(index).silence(), relays.get(index).vm);
        }
      }
      run.sleepUntil(base + 12.3);
      store.put(
          "op",
          "config",
          Case.manifest(
              2, List.of(Case.route("order", "/order/", "non_idempotent", "other-app", 1)), keys));
      run.log(
          "version 2 of the manifest is confirmed; it moves the route to other-app and withdraws"
              + " key2");
      run.sleepUntil(base + 20);
      run.stopTraffic();
      run.sleepUntil(base + 21);
      // In touch again 3 s after the channels fell silent; the bound for the manifest is 2 s.
      long inTouch = silent + 3_050_000_000L;
      long all = 0;
      for (Relay relay : relays) {
        long moved = 0;
        long withdrawnRuns = 0;
        for (Replica replica : replicas) {
          for (Replica.Arrival arrival : replica.arrivals) {
            Case.Sent sent = run.sent.get(arrival.attempt());
            if (!sent.relay.equals(relay.vm) || sent.sentNanos - inTouch <= 0) {
              continue;
            }
            if (arrival.path().equals("/order/withdrawn")) {
              withdrawnRuns++;
            } else if (replica.service.equals("bakken-app")) {
              moved++;
            }
          }
        }
        run.log(
            "%s, requests sent from 3.05 s after the silence on: %d run by the old service, %d run"
                + " with the withdrawn key",
            relay.vm, moved, withdrawnRuns);
        System.out.println(relay.vm + ": " + moved + " old service, " + withdrawnRuns + " old key");
        all += moved + withdrawnRuns;
      }
      run.logRequests();
      replicas.forEach(run::logArrivals);
      run.log("requests handled as only the older version allows: %d", all);
      return all > 0 ? 1 : 0;
    }
  }
}
