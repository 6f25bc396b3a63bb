package io.zinniawood.core.overflow;

import io.zinniawood.core.id.DataCentreId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

/** Three data centres in virtual time; the relays of the first one decide by the policy. */
final class OverflowSimulation {
  static final int STEP_MILLIS = 100;
  static final double TARGET_MILLIS = 500;
  private static final int MIN_DURATION_MILLIS = 2_000;
  private static final int MAX_DURATION_MILLIS = 4_000;
  private static final double MAX_WAIT_MILLIS = 0.6 * TARGET_MILLIS;
  private static final String[] NAMES = {"a", "b", "c"};

  final List<Zone> zones = new ArrayList<>();
  final List<Relay> relays = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(11);
  private long nowMillis;

  /** Requests of one data centre; one request holds one token. */
  static final class Zone {
    int capacity = 90;
    double arrivalsPerSecond = 17;
    double arrivalCredit;
    int refused;
    final Deque<Long> localEnds = new ArrayDeque<>();
    final Deque<Long> guestEnds = new ArrayDeque<>();
    final Deque<Long> waiting = new ArrayDeque<>();
    final List<double[]> figures = new ArrayList<>();

    int free() {
      return capacity - localEnds.size() - guestEnds.size();
    }
  }

  /** One relay of the first data centre, whose figures of the others are some steps old. */
  static final class Relay {
    final OverflowPolicy policy = new OverflowPolicy();
    final int lagSteps;
    final List<OverflowDecision> decisions = new ArrayList<>();

    Relay(int lagSteps) {
      this.lagSteps = lagSteps;
    }

    OverflowDecision last() {
      return decisions.get(decisions.size() - 1);
    }
  }

  OverflowSimulation(int... lagSteps) {
    for (String name : NAMES) {
      zones.add(new Zone());
    }
    for (int lag : lagSteps) {
      relays.add(new Relay(lag));
    }
  }

  void runSeconds(int seconds) {
    for (int step = 0; step < seconds * 1_000 / STEP_MILLIS; step++) {
      nowMillis += STEP_MILLIS;
      zones.forEach(this::endRequests);
      relays.forEach(relay -> relay.decisions.add(decide(relay)));
      for (int index = 0; index < zones.size(); index++) {
        startRequests(index);
      }
    }
  }

  private void endRequests(Zone zone) {
    zone.localEnds.removeIf(end -> end <= nowMillis);
    zone.guestEnds.removeIf(end -> end <= nowMillis);
    zone.figures.add(new double[] {zone.capacity, zone.free(), zone.guestEnds.size()});
  }

  private OverflowDecision decide(Relay relay) {
    List<RemoteDataCentre> others = new ArrayList<>();
    for (int index = 1; index < zones.size(); index++) {
      others.add(
          new RemoteDataCentre(
              room(index, relay.lagSteps), new LinkCondition(0, 0, OptionalDouble.empty()), 0));
    }
    Zone home = zones.get(0);
    double waitMillis = home.waiting.isEmpty() ? 0 : nowMillis - home.waiting.getFirst();
    OverflowInputs inputs = new OverflowInputs(room(0, 0), others, 1, waitMillis, TARGET_MILLIS, 3);
    return relay.policy.update(inputs, nowMillis * 1_000_000);
  }

  private DataCentreRoom room(int index, int lagSteps) {
    List<double[]> figures = zones.get(index).figures;
    double[] seen = figures.get(Math.max(0, figures.size() - 1 - lagSteps));
    return new DataCentreRoom(
        new DataCentreId(NAMES[index]),
        seen[0],
        Math.max(0, seen[1]),
        seen[2],
        (long) lagSteps * STEP_MILLIS);
  }

  private void startRequests(int index) {
    Zone zone = zones.get(index);
    zone.arrivalCredit += zone.arrivalsPerSecond * STEP_MILLIS / 1_000;
    for (; zone.arrivalCredit >= 1; zone.arrivalCredit--) {
      zone.waiting.add(nowMillis);
    }
    while (!zone.waiting.isEmpty() && nowMillis - zone.waiting.getFirst() > MAX_WAIT_MILLIS) {
      zone.waiting.removeFirst();
      zone.refused++;
    }
    while (zone.free() > 0 && !zone.waiting.isEmpty()) {
      zone.waiting.removeFirst();
      zone.localEnds.add(endMillis());
    }
    if (index == 0) {
      zone.waiting.removeIf(arrived -> arrived == nowMillis && leaves());
    }
  }

  /** Returns the end of a request; answers differ in length, so that ends do not come in bursts. */
  private long endMillis() {
    return nowMillis + random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
  }

  private boolean leaves() {
    OverflowDecision decision = relays.get(random.nextInt(relays.size())).last();
    return decision
        .destination(random.nextDouble())
        .map(centre -> zones.get(List.of(NAMES).indexOf(centre.value())))
        .map(zone -> zone.guestEnds.add(endMillis()))
        .orElse(false);
  }
}
