package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.AcceleratorKind;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.route.AcceleratorProfile;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Relays that start at once before 56 endpoints with four kinds of accelerators, seven copies of a
 * model, and exchange messages in simulated time. Streams get their first event after 300 ms and do
 * not end.
 */
final class SharedLoadFleet {
  private static final long STEP_MILLIS = 25;
  private static final long FIRST_EVENT_MILLIS = 300;
  private static final long START_MILLIS = 100_000;
  private static final int MODEL_LAYERS = 80;
  private static final int LAYERS_PER_ENDPOINT = 10;
  private static final List<String> KINDS =
      List.of("h100", "a100s", "a100s", "l4", "l4", "t4", "t4");
  private static final Map<String, Double> STEP_TIME_FACTORS =
      Map.of("h100", 1.4, "a100s", 3.1, "l4", 16.0, "t4", 15.0);

  private final List<Relay> relays = new ArrayList<>();
  private final Map<EndpointId, Integer> arrivals = new HashMap<>();
  private final SplittableRandom random;
  private final int endpoints;
  private long nowMillis = START_MILLIS;
  private double lossShare;

  private static final class Relay {
    final NodeAddress address;
    final RelayHarness process;
    final List<RelayEffect.Send> unanswered = new ArrayList<>();
    final List<Long> sentMillis = new ArrayList<>();
    int effectsSeen;
    double requestsDue;
    double rateFactor = 1;

    Relay(NodeAddress address, RelayHarness process) {
      this.address = address;
      this.process = process;
    }
  }

  SharedLoadFleet(int relayCount, SchedulingSettings.Mode loadSharing, long seed) {
    random = new SplittableRandom(seed);
    SchedulingSettings.Mode off = SchedulingSettings.Mode.OFF;
    SchedulingSettings scheduling = new SchedulingSettings(loadSharing, off, off, off, off, off, 0);
    Map<VmId, PresenceRow> rows = new HashMap<>();
    for (int index = 0; index < relayCount; index++) {
      VmId vm = new VmId("relay-" + index);
      NodeAddress address = new NodeAddress("10.0.1." + (index + 1), 7_340);
      rows.put(vm, new PresenceRow(RelayHarness.version(7 + index), Optional.of(address)));
      long startNanos = TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
      relays.add(
          new Relay(
              address, new RelayHarness(vm, address, random.nextLong(), startNanos, scheduling)));
    }
    FleetEndpoint[] listed = listedEndpoints();
    endpoints = listed.length;
    for (Relay relay : relays) {
      relay.process.post(
          new RelayEvent.RoutesAnswered(Optional.of(routes()), RelayHarness.version(1)));
      relay.process.list(listed);
      relay.process.post(new RelayEvent.PresencesRead(rows));
      relay.requestsDue = random.nextDouble();
    }
  }

  private static RouteTable routes() {
    Map<AcceleratorKind, AcceleratorProfile> profiles = new HashMap<>();
    STEP_TIME_FACTORS.forEach(
        (name, factor) -> {
          AcceleratorKind kind = new AcceleratorKind(name);
          profiles.put(kind, new AcceleratorProfile(kind, 24_000, factor, factor));
        });
    EngineProfile engine =
        new EngineProfile(
            MODEL_LAYERS,
            1_750,
            60,
            2,
            8,
            0.04,
            0.00004,
            1,
            300_000,
            745_000,
            16_400,
            3_100,
            760,
            153,
            profiles);
    return new RouteTable(
        1,
        List.of(RelayHarness.route("stream", RouteKind.STREAMING, RelayHarness.MODEL, 20_000, 2)),
        List.of(new RoutedService(RelayHarness.MODEL, 100, Optional.of(engine))),
        false,
        Map.of(),
        RequestLimits.DEFAULT);
  }

  private static FleetEndpoint[] listedEndpoints() {
    List<FleetEndpoint> rows = new ArrayList<>();
    for (int from = 0; from < MODEL_LAYERS; from += LAYERS_PER_ENDPOINT) {
      for (int index = 0; index < KINDS.size(); index++) {
        rows.add(
            new FleetEndpoint(
                new EndpointId("i-%d-%d".formatted(from, index)),
                RelayHarness.MODEL,
                new NodeAddress("10.0.2." + (rows.size() + 1), 2_000),
                RelayHarness.LOCAL,
                6,
                false,
                Optional.of(new AcceleratorKind(KINDS.get(index))),
                Optional.of(new LayerRange(from, from + LAYERS_PER_ENDPOINT)),
                1,
                0,
                RelayHarness.version(1)));
      }
    }
    return rows.toArray(FleetEndpoint[]::new);
  }

  void loseMessages(double share) {
    lossShare = share;
  }

  /** Gives every second relay five times as many requests as the others, the mean being equal. */
  void loadUnevenly() {
    for (int index = 0; index < relays.size(); index++) {
      relays.get(index).rateFactor = index % 2 == 0 ? 1.0 / 3 : 5.0 / 3;
    }
  }

  /** Lets all relays run and receive requests at a rate, and counts arrivals from now on. */
  void run(long millis, double requestsPerSecondEach) {
    arrivals.clear();
    for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      nowMillis += STEP_MILLIS;
      for (Relay relay : relays) {
        relay.process.tickAfterMillis(STEP_MILLIS);
        relay.requestsDue += requestsPerSecondEach * relay.rateFactor * STEP_MILLIS / 1_000;
        while (relay.requestsDue >= 1) {
          relay.requestsDue--;
          relay.process.stream();
        }
      }
      relays.forEach(this::carryOut);
    }
  }

  private void carryOut(Relay relay) {
    List<RelayEffect> all = relay.process.effectsOf(RelayEffect.class);
    List<RelayEffect> effects = List.copyOf(all.subList(relay.effectsSeen, all.size()));
    relay.effectsSeen = all.size();
    for (RelayEffect effect : effects) {
      if (effect instanceof RelayEffect.Send send) {
        for (PathPart part : send.options().path().orElseThrow().parts()) {
          arrivals.merge(part.endpoint(), 1, Integer::sum);
        }
        relay.unanswered.add(send);
        relay.sentMillis.add(nowMillis);
      } else if (effect instanceof RelayEffect.SendToPeers message) {
        deliver(relay, message);
      }
    }
    while (!relay.unanswered.isEmpty()
        && nowMillis - relay.sentMillis.get(0) >= FIRST_EVENT_MILLIS) {
      RelayEffect.Send send = relay.unanswered.remove(0);
      relay.sentMillis.remove(0);
      relay.process.streamAdvanced(send.id(), send.attempt());
    }
  }

  private void deliver(Relay sender, RelayEffect.SendToPeers effect) {
    for (Relay receiver : relays) {
      if (effect.receivers().contains(receiver.address) && random.nextDouble() >= lossShare) {
        receiver.process.post(new RelayEvent.PeerMessageReceived(effect.message(), sender.address));
      }
    }
  }

  /** Returns the number of requests since the last run began. */
  int requests() {
    return arrivals.values().stream().mapToInt(Integer::intValue).sum()
        / (MODEL_LAYERS / LAYERS_PER_ENDPOINT);
  }

  /** Returns the arrivals of the busiest endpoint, relative to the mean of all endpoints. */
  double busiestToMean() {
    int sum = arrivals.values().stream().mapToInt(Integer::intValue).sum();
    int busiest = arrivals.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    return (double) busiest * endpoints / sum;
  }

  /** Returns the requests that each relay believes to be in flight at an endpoint. */
  List<Double> believedRequests(EndpointId endpoint) {
    return relays.stream()
        .map(relay -> relay.process.state())
        .map(
            state ->
                state
                    .fleetLoad
                    .at(
                        state.fleet.find(endpoint).orElseThrow(),
                        relays.size(),
                        TimeUnit.MILLISECONDS.toNanos(nowMillis))
                    .requests())
        .toList();
  }

  /** Returns the requests that all relays have in flight at an endpoint. */
  int requestsInFlight(EndpointId endpoint) {
    return relays.stream()
        .map(relay -> relay.process.state().fleet.find(endpoint).orElseThrow())
        .mapToInt(tracked -> tracked.inFlight())
        .sum();
  }

  /** Returns the bytes of notices that the relay that sent most of them has sent. */
  long mostNoticeBytes() {
    return relays.stream()
        .mapToLong(relay -> relay.process.state().loadNoticeBytesSent())
        .max()
        .orElse(0);
  }
}
