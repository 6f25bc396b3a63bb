package io.zinniawood.dist.soak;

import io.zinniawood.dist.users.EndpointStandIn;
import io.zinniawood.standin.proxy.Direction;
import io.zinniawood.standin.proxy.FaultProxy;
import io.zinniawood.standin.proxy.NewConnectionPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Faults that a seed brings about, in series that overlap; each ends by itself. */
final class SoakFaults {
  private static final int MAX_DELAY_MILLIS = 300;
  private static final int MAX_FAULT_MILLIS = 3_000;

  private final SoakCluster cluster;
  private final Random random;
  private final ScheduledExecutorService timers;
  private final List<Fault> faults = new ArrayList<>();

  /** Starts a fault and returns what ends it. */
  @FunctionalInterface
  private interface Fault {
    Runnable begin();
  }

  SoakFaults(SoakCluster cluster, Random random, ScheduledExecutorService timers) {
    this.cluster = cluster;
    this.random = random;
    this.timers = timers;
    faults.add(this::pause);
    faults.add(this::kill);
    faults.add(this::terminate);
    faults.add(this::reload);
    faults.add(this::delay);
    faults.add(this::cut);
    faults.add(this::silence);
    faults.add(this::resetNew);
    faults.add(this::storeAway);
    faults.add(this::breakStreams);
    faults.add(this::fail);
    faults.add(this::changeKey);
  }

  /** Begins one fault. */
  void next() {
    Runnable end = faults.get(random.nextInt(faults.size())).begin();
    timers.schedule(end, random.nextInt(MAX_FAULT_MILLIS), TimeUnit.MILLISECONDS);
  }

  private SoakCluster.Relay anyRelay() {
    return cluster.relays.get(random.nextInt(cluster.relays.size()));
  }

  private FaultProxy anyProxy() {
    return switch (random.nextInt(3)) {
      case 0 -> anyRelay().callerProxy;
      case 1 -> anyRelay().storeProxy;
      default -> cluster.endpointProxies.get(random.nextInt(cluster.endpointProxies.size()));
    };
  }

  private EndpointStandIn anyEndpoint() {
    return cluster.endpoints.get(random.nextInt(cluster.endpoints.size()));
  }

  private Runnable pause() {
    SoakCluster.Relay relay = anyRelay();
    synchronized (relay) {
      relay.signal("STOP");
    }
    return () -> {
      synchronized (relay) {
        relay.signal("CONT");
      }
    };
  }

  private Runnable kill() {
    SoakCluster.Relay relay = anyRelay();
    synchronized (relay) {
      relay.process().kill();
      relay.start();
    }
    return () -> {};
  }

  private Runnable terminate() {
    SoakCluster.Relay relay = anyRelay();
    timers.execute(relay::replace);
    return () -> {};
  }

  private Runnable reload() {
    SoakCluster.Relay relay = anyRelay();
    synchronized (relay) {
      relay.signal("HUP");
    }
    return () -> {};
  }

  private Runnable delay() {
    FaultProxy proxy = anyProxy();
    Direction direction = random.nextBoolean() ? Direction.TO_TARGET : Direction.TO_CLIENT;
    proxy.setDelayMillis(direction, random.nextInt(MAX_DELAY_MILLIS));
    return () -> proxy.setDelayMillis(direction, 0);
  }

  private Runnable cut() {
    FaultProxy proxy = anyProxy();
    switch (random.nextInt(3)) {
      case 0 -> proxy.resetConnections();
      case 1 -> proxy.halfOpenAtClient();
      default -> proxy.halfOpenAtTarget();
    }
    return () -> {};
  }

  private Runnable silence() {
    FaultProxy proxy = anyProxy();
    if (random.nextBoolean()) {
      proxy.stopForwardingInBothDirections();
    } else {
      proxy.stopForwarding(random.nextBoolean() ? Direction.TO_TARGET : Direction.TO_CLIENT);
    }
    return () -> {};
  }

  private Runnable resetNew() {
    FaultProxy proxy = anyProxy();
    proxy.setNewConnectionPolicy(NewConnectionPolicy.RESET);
    return () -> proxy.setNewConnectionPolicy(NewConnectionPolicy.FORWARD);
  }

  private Runnable storeAway() {
    cluster.store.setAway(true);
    return () -> cluster.store.setAway(false);
  }

  private Runnable breakStreams() {
    EndpointStandIn endpoint = anyEndpoint();
    endpoint.breakAfter(1 + random.nextInt(30));
    return () -> endpoint.breakAfter(Integer.MAX_VALUE);
  }

  private Runnable fail() {
    EndpointStandIn endpoint = anyEndpoint();
    endpoint.setFailing(true);
    return () -> endpoint.setFailing(false);
  }

  private Runnable changeKey() {
    cluster.changeKey();
    return () -> {};
  }
}
