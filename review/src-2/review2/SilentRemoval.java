package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** All channels to the store fall silent while new ones work; then a replica leaves. */
final class SilentRemoval {
  private SilentRemoval() {}

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
        run.clients(relay, "bins.example", "/order/x", "key1", 80);
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
      leaver.leave();
      long left = System.nanoTime();
      run.log("%s has left: its entry is removed, it goes on serving for 3.3 s", leaver.id);
      run.sleepUntil(base + 15.6);
      leaver.close();
      run.log("%s exits", leaver.id);
      run.sleepUntil(base + 18);
      run.stopTraffic();
      run.sleepUntil(base + 20);
      // In touch again 3 s after the channels fell silent; the bound for a replica is 2 s.
      long inTouch = silent + 3_050_000_000L;
      long all = 0;
      for (Relay relay : relays) {
        long late = 0;
        long lost = 0;
        double last = 0;
        for (Replica.Arrival arrival : leaver.arrivals) {
          Case.Sent sent = run.sent.get(arrival.attempt());
          if (sent.relay.equals(relay.vm)
              && sent.sentNanos - inTouch > 0
              && arrival.nanos() - left > 2_300_000_000L) {
            late++;
            last = (arrival.nanos() - left) / 1e9;
            lost += sent.status == 200 ? 0 : 1;
          }
        }
        run.log(
            "%s: %d late requests, the last %.3f s after the removal; %d of them not answered 200",
            relay.vm, late, last, lost);
        System.out.printf("%s: %d late, last %.3f s, %d lost%n", relay.vm, late, last, lost);
        all += late;
      }
      run.logRequests();
      replicas.forEach(run::logArrivals);
      run.log("requests at %s more than 2.3 s after its removal: %d", leaver.id, all);
      return all > 0 ? 1 : 0;
    }
  }
}
