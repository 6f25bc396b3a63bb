package io.zinniawood.standin.engine;

import io.zinniawood.standin.http.DelayTimer;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Executes orders: model loads (one at a time), adapter loads and role changes. */
final class OrderExecutor {
  private static final Set<String> ROLES = Set.of("MIXED", "PREFILL", "DECODE");
  private final EngineSettings settings;
  private final SessionStates states;
  private final DelayTimer timer;
  private final WeightClient weights;
  private final Runnable onModelLoaded;
  private long highestFencingNumber = Long.MIN_VALUE;
  private boolean loading;
  private String role = "MIXED";
  private String adapter = "";

  OrderExecutor(
      EngineSettings settings,
      SessionStates states,
      DelayTimer timer,
      WeightClient weights,
      Runnable onModelLoaded) {
    this.settings = settings;
    this.states = states;
    this.timer = timer;
    this.weights = weights;
    this.onModelLoaded = onModelLoaded;
  }

  /** Outcome of an order. */
  enum Outcome {
    DONE,
    STALE_FENCING_NUMBER,
    FAILED
  }

  /** JSON body of an order; text fields that this kind of order does not use are null. */
  record OrderBody(
      long fencingNumber,
      String order,
      String model,
      String version,
      int fromLayer,
      int toLayerExclusive,
      String adapter,
      String role) {}

  CompletableFuture<Outcome> execute(OrderBody order) {
    synchronized (this) {
      if (settings.fencing() == EngineSettings.Fencing.CHECKED) {
        if (order.fencingNumber() < highestFencingNumber) {
          return CompletableFuture.completedFuture(Outcome.STALE_FENCING_NUMBER);
        }
        highestFencingNumber = order.fencingNumber();
      }
    }
    return switch (String.valueOf(order.order())) {
      case "load-model" -> loadModel(order);
      case "load-adapter" -> CompletableFuture.completedFuture(loadAdapter(order));
      case "change-role" -> CompletableFuture.completedFuture(changeRole(order));
      default -> throw new IllegalArgumentException("unknown order \"" + order.order() + "\"");
    };
  }

  synchronized boolean loading() {
    return loading;
  }

  synchronized String role() {
    return role;
  }

  synchronized String adapter() {
    return adapter;
  }

  private CompletableFuture<Outcome> loadModel(OrderBody order) {
    ModelParameters current = states.loadedLayers().parameters();
    int from = order.fromLayer();
    int to = order.toLayerExclusive();
    boolean valid = from >= 0 && to > from && to <= current.layers();
    if (order.model() == null || order.version() == null || !valid) {
      return CompletableFuture.completedFuture(Outcome.FAILED);
    }
    synchronized (this) {
      if (loading) {
        return CompletableFuture.completedFuture(Outcome.FAILED);
      }
      loading = true;
    }
    ModelParameters requested =
        new ModelParameters(order.model(), order.version(), current.layers(), current.stopEvery());
    return weights
        .requestTransfer(order.model(), order.version())
        .thenCompose(granted -> granted ? loadLayers(requested, from, to) : failedOutcome())
        .whenComplete((outcome, failure) -> endLoad());
  }

  private CompletableFuture<Outcome> loadLayers(ModelParameters requested, int from, int to) {
    CompletableFuture<Outcome> done = new CompletableFuture<>();
    long loadMillis = settings.delays().loadMillisPerLayer() * (to - from);
    Runnable finish =
        () -> {
          states.replaceLayers(requested, from, to);
          onModelLoaded.run();
          done.complete(Outcome.DONE);
        };
    if (loadMillis == 0) {
      finish.run();
    } else {
      timer.afterMillis(loadMillis, finish);
    }
    return done;
  }

  private static CompletableFuture<Outcome> failedOutcome() {
    return CompletableFuture.completedFuture(Outcome.FAILED);
  }

  private synchronized void endLoad() {
    loading = false;
  }

  private synchronized Outcome loadAdapter(OrderBody order) {
    if (order.adapter() == null
        || !states.loadedLayers().parameters().model().equals(order.model())) {
      return Outcome.FAILED;
    }
    adapter = order.adapter();
    return Outcome.DONE;
  }

  private synchronized Outcome changeRole(OrderBody order) {
    if (!ROLES.contains(String.valueOf(order.role()))) {
      return Outcome.FAILED;
    }
    role = order.role();
    return Outcome.DONE;
  }
}
