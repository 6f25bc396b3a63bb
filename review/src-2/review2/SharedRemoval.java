package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A relay freezes for 4 s while replicas are replaced. What it shares after it has woken hides the
 * removal of a replica from the others.
 */
final class SharedRemoval {
  private static final int ROUNDS = 6;
  private static final int PLAIN = 7;

  private SharedRemoval() {}

  private record Leaver(Replica replica, long leftNanos) {}

  static int run(Path record) throws Exception {
    try (Case run = new Case(record)) {
      Store store = run.open(new Store());
      store.put(
          "op",
          "config",
          Case.manifest(
              1,
              List.of(
                  Case.STREAM_ROUTE,
                  Case.route("order", "/order/", "non_idempotent", "bakken-app", 1)),
              "[{\"name\":\"depot\",\"api_keys\":[\"key1\"]}]"));
      String[] zones = {"groningen", "assen", "leeuwarden"};
      List<Replica> models = new ArrayList<>();
      for (int index = 0; index < 38; index++) {
        models.add(model(run, store, index, zones[index % 3]));
      }
      List<Replica> plain = new ArrayList<>();
      int plainNumber = 0;
      for (; plainNumber < PLAIN; plainNumber++) {
        plain.add(plain(run, store, plainNumber, zones[plainNumber % 3]));
      }
      List<Relay> relays = new ArrayList<>();
      for (int index = 0; index < 4; index++) {
        Relay relay =
            run.open(
                new Relay(
                    run.folder,
                    "front-" + (index + 1),
                    zones[index % 3],
                    store.address(),
                    true));
        relay.start();
        relays.add(relay);
      }
      for (Relay relay : relays) {
        relay.awaitReady();
      }
      Relay frozen = relays.get(3);
      for (Relay relay : relays.subList(0, 3)) {
        run.clients(relay, "bins.example", "/order/x", "key1", 60);
      }
      double base = run.seconds(System.nanoTime()) + 4;
      List<Leaver> leavers = new ArrayList<>();
      int modelNumber = models.size();
      for (int round = 0; round < ROUNDS; round++) {
        double at = base + 11.3 * round;
        run.sleepUntil(at);
        if (run.trouble) {
          frozen.signal("STOP");
          run.log("%s freezes for 4 s", frozen.vm);
        }
        // A release of model replicas, four at a time.
        for (int step = 0; step < 4; step++) {
          run.sleepUntil(at + 0.2 + step);
          for (int index = 0; index < 4; index++) {
            models.add(model(run, store, modelNumber, zones[modelNumber % 3]));
            modelNumber++;
            Replica old = models.remove(0);
            old.drain();
            Http.daemon(
                () -> {
                  try {
                    Case.sleep(3_500);
                    old.leave();
                    Case.sleep(1_500);
                    old.close();
                  } catch (Exception ended) {
                    // The case has ended.
                  }
                });
          }
          if (step < 3) {
            plain.add(plain(run, store, plainNumber, zones[plainNumber % 3]));
            plainNumber++;
          }
        }
        // Plain replicas leave without reporting it, one after the other.
        for (double before : new double[] {0.45, 0.25, 0.1}) {
          run.sleepUntil(at + 4 - before);
          Replica old = plain.remove(0);
          old.leave();
          leavers.add(new Leaver(old, System.nanoTime()));
          run.log("%s has left: its entry is removed, it goes on serving for 7 s", old.id);
          Http.daemon(
              () -> {
                try {
                  Case.sleep(7_000);
                  old.close();
                  run.log("%s exits", old.id);
                } catch (Exception ended) {
                  // The case has ended.
                }
              });
        }
        run.sleepUntil(at + 4);
        if (run.trouble) {
          frozen.signal("CONT");
          run.log("%s runs again", frozen.vm);
        }
      }
      run.sleepUntil(base + 11.3 * ROUNDS);
      run.stopTraffic();
      Case.sleep(1_000);
      long late = 0;
      for (Leaver leaver : leavers) {
        for (Replica.Arrival arrival : leaver.replica().arrivals) {
          if (arrival.nanos() - leaver.leftNanos() > 2_300_000_000L) {
            late++;
            run.log(
                "late: %s at %s, %.3f s after its removal, from %s",
                arrival.attempt(),
                leaver.replica().id,
                (arrival.nanos() - leaver.leftNanos()) / 1e9,
                run.sent.get(arrival.attempt()).relay);
          }
        }
      }
      run.logRequests();
      run.log("requests at replicas more than 2.3 s after their removal: %d", late);
      System.out.println("late requests: " + late);
      return late > 0 ? 1 : 0;
    }
  }

  private static Replica plain(Case run, Store store, int number, String zone) throws Exception {
    return run.open(new Replica(store, "i-p%03d".formatted(number), "bakken-app", zone, 40, ""));
  }

  private static Replica model(Case run, Store store, int number, String zone) throws Exception {
    return run.open(
        new Replica(
            store,
            "i-m%03d".formatted(number),
            "zinnia-pool",
            zone,
            20,
            ",\"kind\":\"a100\",\"layers\":{\"from\":%d,\"to\":%d,\"version\":1}"
                .formatted(number % 2 * 40, number % 2 * 40 + 40)));
  }
}
