package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.LayerRange;
import io.zinniawood.core.model.NodeAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Plays several relays that share their reads of one store. Entries are written, removed and
 * written again; reads are long and their answers late; messages are lost, doubled, late and in any
 * order; relays pause, lose the history, and the store comes back from a copy.
 */
final class SharedReadsHistoriesTest {
  private static final long FIRST_SEED = 66_000;
  private static final int HISTORIES = 60;
  private static final int RELAYS = 4;
  private static final int ENDPOINTS = 50;
  private static final long STEP_MILLIS = 25;
  private static final long HISTORY_MILLIS = 20_000;

  private final ModelStore store = new ModelStore();
  private final Random random = new Random();
  private final List<Relay> relays = new ArrayList<>();
  private final Map<EndpointId, FleetEndpoint> written = new HashMap<>();
  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          (left, right) ->
              left.atMillis != right.atMillis
                  ? Long.compare(left.atMillis, right.atMillis)
                  : Long.compare(left.order, right.order));
  private long nowMillis = 100_000;
  private long order;
  private boolean restored;

  private record Scheduled(long atMillis, long order, Runnable action) {}

  private static final class Relay {
    final NodeAddress address;
    final RelayState state;

    /** Latest start that the relay has shown of each endpoint, in Unix milliseconds. */
    final Map<EndpointId, Long> latestStartsMillis = new HashMap<>();

    long pausedUntilMillis;

    Relay(int number) {
      address = new NodeAddress("10.0.1." + (number + 1), 7_340);
      state =
          new RelayState(
              new RelayParameters(
                  new VmId("relay-" + number),
                  RelayHarness.LOCAL,
                  Optional.of(address),
                  true,
                  RelayHarness.GRACE_MILLIS,
                  SchedulingSettings.AUTO,
                  number));
    }
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private void at(long delayMillis, Runnable action) {
    queue.add(new Scheduled(nowMillis + delayMillis, order++, action));
  }

  /** Posts an event to a relay, or when its pause ends. */
  private void post(Relay relay, RelayEvent event) {
    if (relay.pausedUntilMillis > nowMillis) {
      at(relay.pausedUntilMillis - nowMillis, () -> post(relay, event));
      return;
    }
    new RelayReducer()
        .reduce(relay.state, nowNanos(), event)
        .effects()
        .forEach(effect -> carryOut(relay, effect));
    check(relay);
  }

  private void carryOut(Relay relay, RelayEffect effect) {
    if (effect instanceof RelayEffect.ListEndpoints) {
      at(random.nextInt(20), () -> answer(relay, store.list(nowMillis)));
    } else if (effect instanceof RelayEffect.ReadEndpointChanges read) {
      at(
          random.nextInt(20),
          () ->
              answer(
                  relay,
                  random.nextInt(200) == 0
                      ? new RelayEvent.EndpointsReadFailed(StoreReadFailure.HISTORY_GONE)
                      : store.changes(read.afterVersion(), nowMillis)));
    } else if (effect instanceof RelayEffect.ReadRoutes) {
      at(5, () -> post(relay, store.routes(Optional.empty())));
    } else if (effect instanceof RelayEffect.AwaitRoutes read) {
      at(read.waitMillis() + 5, () -> post(relay, store.routes(Optional.of(read.afterVersion()))));
    } else if (effect instanceof RelayEffect.ReadLease) {
      store.readLease(event -> at(5, () -> post(relay, event)));
    } else if (effect instanceof RelayEffect.WritePresence write) {
      store.writePresence(write, nowNanos());
    } else if (effect instanceof RelayEffect.SendToPeers sent) {
      relays.stream()
          .filter(receiver -> sent.receivers().contains(receiver.address))
          .forEach(receiver -> send(relay, receiver, sent.message()));
    }
  }

  private void answer(Relay relay, RelayEvent answer) {
    at(random.nextInt(10) == 0 ? random.nextInt(1_000) : 4, () -> post(relay, answer));
  }

  private void send(Relay sender, Relay receiver, PeerMessage message) {
    int copies = random.nextInt(8) == 0 ? random.nextInt(3) : 1;
    for (int copy = 0; copy < copies; copy++) {
      at(
          1 + random.nextInt(random.nextInt(6) == 0 ? 900 : 10),
          () -> post(receiver, new RelayEvent.PeerMessageReceived(message, sender.address)));
    }
  }

  private FleetEndpoint entry(EndpointId id, long startedMillis, long sequence, int layers) {
    return new FleetEndpoint(
        id,
        RelayHarness.MODEL,
        new NodeAddress("10.0.0.1", 2_000),
        RelayHarness.LOCAL,
        6,
        false,
        Optional.of(RelayHarness.KIND),
        layers == 0 ? Optional.empty() : Optional.of(new LayerRange(0, layers)),
        startedMillis,
        sequence,
        new StoreVersion(StoreEra.UNNAMED, 0));
  }

  /** An endpoint checks in, changes its layers for a moment, leaves, or starts again. */
  private void write(EndpointId id) {
    FleetEndpoint last = written.get(id);
    int drawn = random.nextInt(30);
    if (drawn == 0) {
      store.removeEndpoint(id, nowNanos());
    }
    if (drawn > 0 || random.nextInt(3) == 0) {
      boolean starts = store.endpoint(id).isEmpty();
      FleetEndpoint next =
          entry(
              id,
              last.startedMillis() + (starts ? 1 : 0),
              starts ? 1 : last.sequence() + 1,
              drawn < 4 ? drawn : 5);
      written.put(id, next);
      store.writeEndpoint(next, nowNanos());
    }
    at(100 + random.nextInt(600), () -> write(id));
  }

  private void check(Relay relay) {
    for (TrackedEndpoint shown : relay.state.fleet.all()) {
      relay.latestStartsMillis.merge(shown.id(), shown.entry().startedMillis(), Math::max);
    }
    Optional<StoreVersion> known = relay.state.endpointsVersion;
    if (known.filter(version -> version.sameEra(store.version())).isEmpty()) {
      return;
    }
    for (EndpointId id : written.keySet()) {
      Optional<FleetEndpoint> row = store.endpoint(id);
      long changedNumber = row.map(found -> found.rowVersion().number()).orElse(0L);
      if (Math.max(changedNumber, store.removedNumber(id)) <= known.get().number()) {
        Optional<TrackedEndpoint> tracked = relay.state.fleet.find(id);
        boolean agrees =
            row.isPresent()
                ? showsLaterStart(relay, row.get())
                    || tracked.filter(found -> shows(found, row.get())).isPresent()
                : tracked.filter(TrackedEndpoint::staysInFleet).isEmpty();
        if (!agrees) {
          throw new AssertionError(
              "%s at %d, version %s: store has %s, relay has %s"
                  .formatted(
                      relay.address,
                      nowMillis,
                      known.get(),
                      row,
                      tracked.map(TrackedEndpoint::entry)));
        }
      }
    }
  }

  /** A relay that has known a later start than the copy of the store holds keeps to that. */
  private boolean showsLaterStart(Relay relay, FleetEndpoint row) {
    return restored && relay.latestStartsMillis.getOrDefault(row.id(), 0L) > row.startedMillis();
  }

  private boolean shows(TrackedEndpoint tracked, FleetEndpoint row) {
    boolean sameContent = tracked.entry().contentHash() == row.contentHash();
    return restored
        ? sameContent
        : sameContent
            && tracked.staysInFleet()
            && tracked.entry().rowVersion().number() == row.rowVersion().number();
  }

  private void play(long seed) {
    random.setSeed(seed);
    for (int number = 0; number < ENDPOINTS; number++) {
      EndpointId id = new EndpointId("i-%010d".formatted(number));
      written.put(id, entry(id, 1, 0, 5));
      write(id);
    }
    for (int number = 0; number < RELAYS; number++) {
      relays.add(new Relay(number));
    }
    long endMillis = nowMillis + HISTORY_MILLIS;
    while (nowMillis < endMillis) {
      nowMillis += STEP_MILLIS;
      while (!queue.isEmpty() && queue.peek().atMillis <= nowMillis) {
        queue.poll().action.run();
      }
      int drawn = random.nextInt(400);
      if (drawn < 6) {
        relays.get(drawn % RELAYS).pausedUntilMillis = nowMillis + random.nextInt(4_000);
      } else if (drawn == 6) {
        store.restore(nowNanos() - TimeUnit.MILLISECONDS.toNanos(random.nextInt(3_000)));
        restored = true;
      }
      for (Relay relay : relays) {
        if (relay.pausedUntilMillis <= nowMillis) {
          post(relay, new RelayEvent.Tick());
        }
      }
    }
  }

  // Guards against shared reads that move a relay past a change that it has not seen: a removal was
  // lost for good, and requests went on to an endpoint until it exited.
  @Test
  void relayShowsWhateverTheStoreChangedUpToItsVersion() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
      try {
        new SharedReadsHistoriesTest().play(seed);
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
      }
    }
  }
}
