package io.zinniawood.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Plays several relays against a model of the store, with restores, lost messages, late answers,
 * relays that are cut off or restarted, changes of configuration and leaving endpoints.
 */
final class RelayRestoreHistoriesTest {
  private static final int SEEDS = 60;
  private static final int RELAYS = 3;
  private static final long STEP_MILLIS = 25;
  private static final long FAULTS_MILLIS = 25_000;

  /** Longest cut of a relay, one lease time and the grace for entries that may reappear. */
  private static final long CONVERGENCE_MILLIS = 12_000;

  private static final long HEARTBEAT_MILLIS = 500;
  private static final long CALL_TIMEOUT_MILLIS = 1_200;

  private final ModelStore store = new ModelStore();
  private final Random random = new Random();
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          (left, right) ->
              left.atMillis != right.atMillis
                  ? Long.compare(left.atMillis, right.atMillis)
                  : Long.compare(left.order, right.order));
  private final Map<EndpointId, FleetEndpoint> alive = new HashMap<>();
  private final Set<EndpointId> leaving = new HashSet<>();
  private final Map<Long, VmId> holdersByFence = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long nowMillis = 100_000;
  private long order;
  private long newestRoutes = 1;
  private long endpointsCreated;

  private record Scheduled(long atMillis, long order, Runnable action) {}

  private static final class Node {
    final VmId vm;
    final NodeAddress address;
    RelayState state;
    int incarnation;
    long cutUntilMillis;
    long appliedRoutes;
    Set<EndpointId> knownLeaving = new HashSet<>();

    Node(int number) {
      vm = new VmId("relay-" + number);
      address = new NodeAddress("10.0.1." + (number + 1), 7_340);
      start();
    }

    void start() {
      incarnation++;
      appliedRoutes = 0;
      knownLeaving = new HashSet<>();
      state =
          new RelayState(
              new RelayParameters(
                  vm,
                  RelayHarness.LOCAL,
                  Optional.of(address),
                  incarnation == 1,
                  RelayHarness.GRACE_MILLIS,
                  SchedulingSettings.AUTO,
                  incarnation));
    }
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private void at(long delayMillis, Runnable action) {
    queue.add(new Scheduled(nowMillis + delayMillis, order++, action));
  }

  private void post(Node node, int incarnation, RelayEvent event) {
    if (node.incarnation != incarnation) {
      return;
    }
    new RelayReducer()
        .reduce(node.state, nowNanos(), event)
        .effects()
        .forEach(effect -> carryOut(node, effect));
    check(node);
  }

  private void carryOut(Node node, RelayEffect effect) {
    if (effect instanceof RelayEffect.ListEndpoints) {
      call(node, 0, () -> store.list(nowMillis), this::endpointsFailed);
    } else if (effect instanceof RelayEffect.ReadEndpointChanges read) {
      call(node, 0, () -> store.changes(read.afterVersion(), nowMillis), this::endpointsFailed);
    } else if (effect instanceof RelayEffect.ReadRoutes) {
      call(node, 0, () -> store.routes(Optional.empty()), this::routesFailed);
    } else if (effect instanceof RelayEffect.AwaitRoutes read) {
      call(
          node,
          read.waitMillis(),
          () -> store.routes(Optional.of(read.afterVersion())),
          this::routesFailed);
    } else if (effect instanceof RelayEffect.WriteLease write) {
      call(node, 0, () -> store.writeLease(write, nowNanos()), Optional::empty);
    } else if (effect instanceof RelayEffect.ReadLease) {
      int incarnation = node.incarnation;
      served(
          node,
          () -> store.readLease(event -> at(5, () -> post(node, incarnation, event))),
          () -> {});
    } else if (effect instanceof RelayEffect.WritePresence write) {
      served(node, () -> store.writePresence(write, nowNanos()), () -> {});
    } else if (effect instanceof RelayEffect.SendToPeers sent) {
      send(node, sent);
    }
  }

  private Optional<RelayEvent> endpointsFailed() {
    return Optional.of(new RelayEvent.EndpointsReadFailed(StoreReadFailure.UNAVAILABLE));
  }

  private Optional<RelayEvent> routesFailed() {
    return Optional.of(new RelayEvent.RoutesReadFailed(StoreReadFailure.UNAVAILABLE));
  }

  /**
   * The store serves a call after some time, unless it is down, the relay is cut off, or a loss.
   */
  private void served(Node node, Runnable serve, Runnable lost) {
    at(
        1 + random.nextInt(30),
        () -> {
          if (store.down || node.cutUntilMillis > nowMillis || random.nextInt(50) == 0) {
            lost.run();
          } else {
            serve.run();
          }
        });
  }

  private void call(
      Node node,
      long waitMillis,
      Supplier<RelayEvent> serve,
      Supplier<Optional<RelayEvent>> failure) {
    int incarnation = node.incarnation;
    Runnable lost =
        () ->
            at(
                CALL_TIMEOUT_MILLIS,
                () -> failure.get().ifPresent(event -> post(node, incarnation, event)));
    at(
        waitMillis,
        () ->
            served(
                node,
                () -> {
                  RelayEvent answer = serve.get();
                  long late = random.nextInt(20) == 0 ? random.nextInt(900) : random.nextInt(20);
                  at(late, () -> post(node, incarnation, answer));
                },
                lost));
  }

  private void send(Node sender, RelayEffect.SendToPeers sent) {
    for (Node receiver : nodes) {
      boolean lost =
          sender.cutUntilMillis > nowMillis
              || receiver.cutUntilMillis > nowMillis
              || random.nextInt(10) == 0;
      if (!lost && sent.receivers().contains(receiver.address)) {
        int incarnation = receiver.incarnation;
        at(
            1 + random.nextInt(60),
            () ->
                post(
                    receiver,
                    incarnation,
                    new RelayEvent.PeerMessageReceived(sent.message(), sender.address)));
      }
    }
  }

  private void addEndpoint() {
    EndpointId id = new EndpointId("e-" + endpointsCreated++);
    FleetEndpoint endpoint =
        new FleetEndpoint(
            id,
            RelayHarness.PLAIN,
            new NodeAddress("10.0.0.1", (int) (2_000 + endpointsCreated)),
            RelayHarness.LOCAL,
            6,
            false,
            Optional.empty(),
            Optional.empty(),
            endpointsCreated,
            0,
            new StoreVersion(StoreEra.UNNAMED, 0));
    alive.put(id, endpoint);
    heartbeat(id);
  }

  private void heartbeat(EndpointId id) {
    FleetEndpoint endpoint = alive.get(id);
    if (endpoint == null) {
      return;
    }
    if (!store.down) {
      store.writeEndpoint(endpoint, nowNanos());
    }
    at(HEARTBEAT_MILLIS, () -> heartbeat(id));
  }

  private void drainOne() {
    alive.keySet().stream()
        .filter(id -> !leaving.contains(id))
        .findFirst()
        .ifPresent(
            id -> {
              leaving.add(id);
              alive.put(id, draining(alive.get(id)));
              at(2_000 + random.nextInt(1_000), () -> alive.remove(id));
              addEndpoint();
            });
  }

  private static FleetEndpoint draining(FleetEndpoint ready) {
    return new FleetEndpoint(
        ready.id(),
        ready.service(),
        ready.address(),
        ready.dataCentre(),
        ready.slots(),
        true,
        ready.accelerator(),
        ready.layers(),
        ready.startedMillis(),
        ready.sequence(),
        ready.rowVersion());
  }

  /** The platform removes entries that are silent for three heartbeats. */
  private void removeSilent() {
    for (EndpointId id : store.listed()) {
      if (!alive.containsKey(id)) {
        at(
            3 * HEARTBEAT_MILLIS,
            () -> {
              if (!store.down && !alive.containsKey(id)) {
                store.removeEndpoint(id, nowNanos());
              }
            });
      }
    }
    at(HEARTBEAT_MILLIS, this::removeSilent);
  }

  private void restore() {
    if (store.down) {
      return;
    }
    store.down = true;
    long copyNanos = nowNanos() - TimeUnit.MILLISECONDS.toNanos(500 + random.nextInt(8_000));
    at(
        random.nextInt(2_000),
        () -> {
          store.restore(copyNanos);
          store.down = false;
          at(random.nextInt(1_500), this::writeRoutesAgain);
        });
  }

  private void writeRoutesAgain() {
    if (store.down) {
      at(500, this::writeRoutesAgain);
    } else if (store.routesVersion() < newestRoutes) {
      store.writeRoutes(newestRoutes, nowNanos());
    }
  }

  private void fault() {
    Node node = nodes.get(random.nextInt(RELAYS));
    switch (random.nextInt(8)) {
      case 0 -> restore();
      case 1 -> node.cutUntilMillis = nowMillis + random.nextInt(5_000);
      case 2 -> {
        if (random.nextInt(3) == 0) {
          node.start();
        }
      }
      case 3, 4 -> drainOne();
      default -> {
        if (!store.down) {
          newestRoutes += 1 + random.nextInt(3);
          store.writeRoutes(newestRoutes, nowNanos());
        }
      }
    }
  }

  private void check(Node node) {
    RelayState state = node.state;
    require(state.routesVersion() >= node.appliedRoutes, node, "configuration went back");
    node.appliedRoutes = state.routesVersion();
    for (TrackedEndpoint endpoint : state.fleet.all()) {
      if (leaving.contains(endpoint.id()) && endpoint.entry().draining()) {
        node.knownLeaving.add(endpoint.id());
      }
    }
    for (EndpointId id : node.knownLeaving) {
      boolean used = state.fleet.find(id).filter(known -> known.usable(nowNanos())).isPresent();
      require(!used, node, "uses %s, which it knows as leaving".formatted(id));
    }
    if (holds(node)) {
      long fence = state.lease.heldRow().get().fencingNumber().value();
      VmId holder = holdersByFence.putIfAbsent(fence, node.vm);
      require(holder == null || holder.equals(node.vm), node, "fence given out twice: " + fence);
      require(nodes.stream().filter(this::holds).count() == 1, node, "two holders");
    }
  }

  private boolean holds(Node node) {
    return node.state.lease.heldRow().isDefined()
        && nowNanos() - node.state.lease.validUntilNanos() < 0;
  }

  private void require(boolean holds, Node node, String text) {
    if (!holds) {
      violations.add("%s at %d: %s".formatted(node.vm, nowMillis, text));
    }
  }

  private void runUntil(long endMillis, boolean faults) {
    while (nowMillis < endMillis && violations.isEmpty()) {
      nowMillis += STEP_MILLIS;
      while (!queue.isEmpty() && queue.peek().atMillis <= nowMillis) {
        queue.poll().action.run();
      }
      if (faults && random.nextInt(24) == 0) {
        fault();
      }
      for (Node node : nodes) {
        post(node, node.incarnation, new RelayEvent.Tick());
      }
    }
  }

  private void play(long seed) {
    random.setSeed(seed);
    for (int number = 0; number < RELAYS; number++) {
      nodes.add(new Node(number));
    }
    for (int number = 0; number < 6; number++) {
      addEndpoint();
    }
    removeSilent();
    runUntil(nowMillis + 3_000, false);
    runUntil(nowMillis + FAULTS_MILLIS, true);
    runUntil(nowMillis + CONVERGENCE_MILLIS, false);
    for (Node node : nodes) {
      require(node.state.routesVersion() == newestRoutes, node, "has another configuration");
      Set<String> usable = new TreeSet<>();
      for (TrackedEndpoint endpoint : node.state.fleet.all()) {
        if (endpoint.usable(nowNanos())) {
          usable.add(endpoint.id().value());
        }
      }
      Set<String> expected = new TreeSet<>();
      alive.keySet().stream()
          .filter(id -> !leaving.contains(id))
          .forEach(id -> expected.add(id.value()));
      require(usable.equals(expected), node, "uses %s, not %s".formatted(usable, expected));
    }
  }

  // Guards against requests to leaving endpoints, lost changes, and two holders of one lease, in
  // whatever order a store that comes back from a copy, its calls and the messages meet.
  @Test
  void relaysAgreeAndKeepWhatTheyKnowWhateverTheStoreForgets() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RelayRestoreHistoriesTest history = new RelayRestoreHistoriesTest();
      history.play(seed);
      assertThat("seed " + seed, history.violations, is(empty()));
    }
  }
}
