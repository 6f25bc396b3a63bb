package io.zinniawood.dist.soak;

import io.zinniawood.dist.users.EndpointFault;
import io.zinniawood.dist.users.EndpointStandIn;
import io.zinniawood.standin.proxy.Direction;
import io.zinniawood.standin.proxy.FaultProxy;
import io.zinniawood.standin.proxy.NewConnectionPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Injects random faults, which may overlap; the end of each is scheduled within 3 s. */
final class SoakFaults {
  private static final int MAX_DELAY_MILLIS = 300;
  private static final int MAX_COPY_AGE_MILLIS = 10_000;
  private static final int MAX_REWRITE_DELAY_MILLIS = 2_000;
  private static final double MIN_LIMIT_PER_SECOND = 0.5;
  private static final int LIMIT_RANGE_PER_SECOND = 10;
  private static final int MAX_FAULT_DURATION_MILLIS = 3_000;

  private static final int MAX_KILL_DELAY_MILLIS = 1_500;
  private static final int MAX_DOWN_MILLIS = 1_500;

  /** Share of kills among the faults of answers. */
  private static final int KILL_ONE_IN = 12;

  private final SoakCluster cluster;
  private final Random random;

  /** Separate from the other faults, so that their order in the seeds of the test stays. */
  private final Random answerRandom;

  private final SoakCrowds crowds;
  private final ScheduledExecutorService timers;
  private final List<Fault> faults = new ArrayList<>();

  /** Starts a fault and returns the action that ends it. */
  @FunctionalInterface
  private interface Fault {
    Runnable start();
  }

  SoakFaults(
      SoakCluster cluster,
      Random random,
      Random answerRandom,
      SoakCrowds crowds,
      ScheduledExecutorService timers) {
    this.cluster = cluster;
    this.random = random;
    this.answerRandom = answerRandom;
    this.crowds = crowds;
    this.timers = timers;
    faults.add(this::pauseRelay);
    faults.add(this::killRelay);
    faults.add(this::terminateRelay);
    faults.add(this::reloadRelay);
    faults.add(this::delayBytes);
    faults.add(this::cutConnections);
    faults.add(this::stallConnections);
    faults.add(this::resetNewConnections);
    faults.add(this::disableStore);
    faults.add(this::restoreStore);
    faults.add(this::breakStreams);
    faults.add(this::failPlainCalls);
    faults.add(this::rotateKey);
    faults.add(this::nameLimit);
  }

  /** Starts one fault and schedules its end. */
  void startRandomFault() {
    Runnable end = faults.get(random.nextInt(faults.size())).start();
    timers.schedule(end, random.nextInt(MAX_FAULT_DURATION_MILLIS), TimeUnit.MILLISECONDS);
  }

  /** Starts one crowd of callers and schedules its end. */
  void startCrowd() {
    timers.schedule(crowds.start(), MAX_FAULT_DURATION_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Starts one fault of the answers of an endpoint, or kills it, and schedules the end. */
  void startAnswerFault() {
    FaultyEndpointProcess endpoint =
        cluster.faultyEndpoints.get(answerRandom.nextInt(cluster.faultyEndpoints.size()));
    EndpointFault[] kinds = EndpointFault.values();
    Runnable end =
        answerRandom.nextInt(KILL_ONE_IN) == 0
            ? killEndpoint(endpoint)
            : start(endpoint, kinds[answerRandom.nextInt(kinds.length)]);
    timers.schedule(end, answerRandom.nextInt(MAX_FAULT_DURATION_MILLIS), TimeUnit.MILLISECONDS);
  }

  private static Runnable start(FaultyEndpointProcess endpoint, EndpointFault fault) {
    endpoint.setFault(fault, true);
    return () -> endpoint.setFault(fault, false);
  }

  /** Kills an endpoint after some time of answers without a length. */
  private Runnable killEndpoint(FaultyEndpointProcess endpoint) {
    boolean rename = answerRandom.nextBoolean();
    long downMillis = answerRandom.nextBoolean() ? 0 : answerRandom.nextInt(MAX_DOWN_MILLIS);
    long delayMillis = answerRandom.nextInt(MAX_KILL_DELAY_MILLIS);
    Runnable unframed = start(endpoint, EndpointFault.UNFRAMED);
    Runnable pause = start(endpoint, EndpointFault.PAUSE);
    timers.schedule(
        () -> {
          String old = rename ? endpoint.killAndRename() : endpoint.kill();
          timers.schedule(
              () -> {
                endpoint.startIfEnded();
                if (rename) {
                  cluster.store.remove("servers", old);
                }
              },
              downMillis,
              TimeUnit.MILLISECONDS);
        },
        delayMillis,
        TimeUnit.MILLISECONDS);
    return () -> {
      unframed.run();
      pause.run();
    };
  }

  private SoakCluster.Relay randomRelay() {
    return cluster.relays.get(random.nextInt(cluster.relays.size()));
  }

  private FaultProxy randomProxy() {
    return switch (random.nextInt(3)) {
      case 0 -> randomRelay().callerProxy;
      case 1 -> randomRelay().storeProxy;
      default -> cluster.endpointProxies.get(random.nextInt(cluster.endpointProxies.size()));
    };
  }

  private EndpointStandIn randomEndpoint() {
    return cluster.endpoints.get(random.nextInt(cluster.endpoints.size()));
  }

  private Runnable pauseRelay() {
    SoakCluster.Relay relay = randomRelay();
    synchronized (relay) {
      relay.signal("STOP");
    }
    return () -> {
      synchronized (relay) {
        relay.signal("CONT");
      }
    };
  }

  private Runnable killRelay() {
    SoakCluster.Relay relay = randomRelay();
    synchronized (relay) {
      relay.process().kill();
      relay.start();
    }
    return () -> {};
  }

  private Runnable terminateRelay() {
    SoakCluster.Relay relay = randomRelay();
    timers.execute(relay::restartGracefully);
    return () -> {};
  }

  private Runnable reloadRelay() {
    SoakCluster.Relay relay = randomRelay();
    synchronized (relay) {
      relay.signal("HUP");
    }
    return () -> {};
  }

  private Runnable delayBytes() {
    FaultProxy proxy = randomProxy();
    Direction direction = random.nextBoolean() ? Direction.TO_TARGET : Direction.TO_CLIENT;
    proxy.setDelayMillis(direction, random.nextInt(MAX_DELAY_MILLIS));
    return () -> proxy.setDelayMillis(direction, 0);
  }

  private Runnable cutConnections() {
    FaultProxy proxy = randomProxy();
    switch (random.nextInt(3)) {
      case 0 -> proxy.resetConnections();
      case 1 -> proxy.halfOpenAtClient();
      default -> proxy.halfOpenAtTarget();
    }
    return () -> {};
  }

  private Runnable stallConnections() {
    FaultProxy proxy = randomProxy();
    if (random.nextBoolean()) {
      proxy.stopForwardingInBothDirections();
    } else {
      proxy.stopForwarding(random.nextBoolean() ? Direction.TO_TARGET : Direction.TO_CLIENT);
    }
    return () -> {};
  }

  private Runnable resetNewConnections() {
    FaultProxy proxy = randomProxy();
    proxy.setNewConnectionPolicy(NewConnectionPolicy.RESET);
    return () -> proxy.setNewConnectionPolicy(NewConnectionPolicy.FORWARD);
  }

  private Runnable disableStore() {
    cluster.store.setUnavailable(true);
    return () -> cluster.store.setUnavailable(false);
  }

  private Runnable restoreStore() {
    long ageMillis = random.nextInt(MAX_COPY_AGE_MILLIS);
    long rewriteMillis = random.nextInt(MAX_REWRITE_DELAY_MILLIS);
    cluster.store.setUnavailable(true);
    return () -> {
      cluster.store.restore(ageMillis);
      cluster.store.setUnavailable(false);
      timers.schedule(cluster.store::writeAgain, rewriteMillis, TimeUnit.MILLISECONDS);
    };
  }

  private Runnable breakStreams() {
    EndpointStandIn endpoint = randomEndpoint();
    endpoint.breakStreamsAfter(1 + random.nextInt(30));
    return () -> endpoint.breakStreamsAfter(Integer.MAX_VALUE);
  }

  private Runnable failPlainCalls() {
    EndpointStandIn endpoint = randomEndpoint();
    endpoint.setFailPlainCalls(true);
    return () -> endpoint.setFailPlainCalls(false);
  }

  private Runnable nameLimit() {
    EndpointStandIn endpoint = randomEndpoint();
    endpoint.nameLimit(MIN_LIMIT_PER_SECOND + random.nextInt(LIMIT_RANGE_PER_SECOND));
    return () -> endpoint.nameLimit(0);
  }

  private Runnable rotateKey() {
    cluster.rotateKey();
    return () -> {};
  }
}
