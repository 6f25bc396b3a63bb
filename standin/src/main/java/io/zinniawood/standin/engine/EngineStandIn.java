package io.zinniawood.standin.engine;

import io.zinniawood.standin.engine.RunMessages.RunAnswer;
import io.zinniawood.standin.engine.RunMessages.RunBody;
import io.zinniawood.standin.http.Exchange;
import io.zinniawood.standin.http.Json;
import io.zinniawood.standin.http.StandInServer;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Stand-in for a model engine with fault switches; see {@code docs/standins.md}. */
public final class EngineStandIn implements AutoCloseable {
  private static final String NEXT_POSITION_HEADER = "Next-Position";
  private final EngineSettings settings;
  private final StandInServer server = new StandInServer("engine-standin");
  private final FaultState faults = new FaultState();
  private final SessionStates states;
  private final EventLog events;
  private final PrefixCache cache;
  private final BatchScheduler scheduler;
  private final BatchRunner runner;
  private final WeightClient weights;
  private final OrderExecutor orders;
  private final LoadMeter load;

  /** Creates the stand-in; it listens after {@link #start(int)}. */
  public EngineStandIn(EngineSettings settings) {
    this.settings = settings;
    states = new SessionStates(settings);
    events = new EventLog(settings.delays());
    cache = new PrefixCache(settings.limits().prefixCacheTokens(), events);
    scheduler =
        new BatchScheduler(
            server.timer(),
            settings.limits(),
            (decode, prefill) ->
                settings.speed().costNanos(states.loadedLayers().layerCount(), decode, prefill),
            this::costWithFaults,
            faults::runWhenNotFrozen);
    runner = new BatchRunner(states, scheduler, cache, faults);
    weights = new WeightClient(settings.platform(), server.timer());
    orders =
        new OrderExecutor(
            settings, states, server.timer(), weights, () -> cache.clear(System.nanoTime()));
    load =
        new LoadMeter(
            settings.delays().loadReportIntervalMillis(),
            () ->
                new LoadMeter.Reading(
                    states.sessions(), scheduler.queued(), runner.finishedSteps()),
            System.nanoTime());
    addEngineRoutes();
    addCacheRoutes();
    addControlRoutes();
  }

  /** Starts a stand-in on the port of its settings. */
  public static EngineStandIn launch(EngineSettings settings) {
    EngineStandIn standIn = new EngineStandIn(settings);
    standIn.start(settings.port());
    return standIn;
  }

  /**
   * Starts to listen on loopback.
   *
   * @param port TCP port, 0 for a free one
   * @return port on which the stand-in listens
   */
  public int start(int port) {
    return server.start(port);
  }

  /** Returns the port on which the stand-in listens. */
  public int port() {
    return server.port();
  }

  /** Replaces the fault settings. */
  public void setFaults(EngineFaults newFaults) {
    faults.set(newFaults);
  }

  /**
   * Returns the number of repeated executions: those after the first one of a layer and position,
   * summed over layers, positions and sessions.
   */
  public int repeatedExecutions() {
    return states.report().repeated().stream().mapToInt(item -> item.count() - 1).sum();
  }

  /** Returns the number of steps that ran. */
  public long executedSteps() {
    return states.report().steps();
  }

  /** Returns the number of sessions with state. */
  public int sessions() {
    return states.sessions();
  }

  @Override
  public void close() {
    server.close();
    weights.close();
  }

  private long costWithFaults(long costNanos) {
    EngineFaults current = faults.current();
    double factor = current.slowFactor() > 0 ? current.slowFactor() : 1;
    return (long) (costNanos * factor) + current.addedMillis() * 1_000_000;
  }

  /** Adds a route that the fault settings apply to. */
  private void addRoute(String method, String path, StandInServer.Handler handler) {
    server.route(
        method,
        path,
        exchange ->
            faults.runWhenNotFrozen(
                () -> {
                  if (faults.current().down()) {
                    exchange.respondProblem(503, "the engine is down");
                  } else {
                    exchange.handleWith(handler);
                  }
                }));
  }

  private record StatusBody(
      String model,
      String version,
      int fromLayer,
      int toLayerExclusive,
      String accelerator,
      double tokensPerSecond,
      int maxSessions,
      String role,
      String adapter,
      boolean loading,
      LoadMeter.LoadBody load) {}

  private record OrderAnswer(OrderExecutor.Outcome outcome) {}

  private record DoneAnswer(boolean done) {}

  private record EventsAnswer(List<EventLog.CacheEvent> events) {}

  private void addEngineRoutes() {
    addRoute("GET", "/engine/status", exchange -> exchange.respondJson(200, status()));
    addRoute("POST", "/engine/run", this::run);
    addRoute(
        "DELETE",
        "/engine/session",
        exchange -> {
          String session = requiredSession(exchange);
          scheduler.cancel(session);
          exchange.respondJson(200, new DoneAnswer(states.close(session)));
        });
    addRoute(
        "POST",
        "/engine/orders",
        exchange -> {
          CompletableFuture<OrderExecutor.Outcome> unused =
              orders
                  .execute(Json.read(exchange.body(), OrderExecutor.OrderBody.class))
                  .whenComplete((outcome, failure) -> answerOrder(exchange, outcome, failure));
        });
    addRoute(
        "GET",
        "/events",
        exchange -> {
          String after = exchange.parameter("after");
          long sequence = after.isEmpty() ? 0 : Long.parseLong(after);
          exchange.respondJson(200, new EventsAnswer(events.after(sequence, System.nanoTime())));
        });
  }

  private static void answerOrder(
      Exchange exchange, OrderExecutor.Outcome outcome, Throwable failure) {
    if (failure == null) {
      exchange.respondJson(200, new OrderAnswer(outcome));
    } else {
      exchange.respondProblem(500, "the order failed: " + failure);
    }
  }

  private StatusBody status() {
    SessionStates.LoadedLayers loaded = states.loadedLayers();
    return new StatusBody(
        loaded.parameters().model(),
        loaded.parameters().version(),
        loaded.fromLayer(),
        loaded.toLayerExclusive(),
        settings.accelerator(),
        settings.speed().decodeTokensPerSecond(loaded.layerCount()),
        settings.limits().maxSessions(),
        orders.role(),
        orders.adapter(),
        orders.loading(),
        load.report(settings.limits().maxSessions(), System.nanoTime()));
  }

  private void run(Exchange exchange) {
    if (orders.loading()) {
      exchange.respondProblem(503, "the engine is loading weights");
      return;
    }
    RunBody body = Json.readCbor(exchange.body(), RunBody.class);
    runner.run(
        body.steps(),
        outputs -> {
          if (faults.consumeLostResponse()) {
            exchange.closeConnection();
          } else {
            exchange.respond(200, "application/cbor", Json.cborBytes(new RunAnswer(outputs)));
          }
        });
  }

  private void addCacheRoutes() {
    addRoute(
        "GET",
        "/engine/cache",
        exchange ->
            states
                .export(requiredSession(exchange))
                .ifPresentOrElse(
                    export ->
                        exchange
                            .responseHeader(
                                NEXT_POSITION_HEADER, Integer.toString(export.nextPosition()))
                            .respond(200, "application/octet-stream", export.cache()),
                    () -> exchange.respondProblem(404, "the session has no state on this engine")));
    addRoute(
        "PUT",
        "/engine/cache",
        exchange -> {
          int nextPosition = Integer.parseInt(exchange.header(NEXT_POSITION_HEADER));
          states.restore(requiredSession(exchange), nextPosition, exchange.body());
          exchange.respondJson(200, new DoneAnswer(true));
        });
  }

  private void addControlRoutes() {
    server.route(
        "POST",
        "/control/faults",
        exchange -> {
          setFaults(Json.read(exchange.body(), EngineFaults.class));
          exchange.respondJson(200, faults.current());
        });
    server.route("GET", "/control/faults", exchange -> exchange.respondJson(200, faults.current()));
    server.route(
        "GET", "/control/executions", exchange -> exchange.respondJson(200, states.report()));
    server.route(
        "GET",
        "/control/counters",
        exchange ->
            exchange.respondJson(
                200,
                new Counters(states.report().steps(), cache.hitBlocks(), cache.missedBlocks())));
  }

  private record Counters(long steps, long cacheHitBlocks, long cacheMissedBlocks) {}

  private static String requiredSession(Exchange exchange) {
    String session = exchange.parameter("session");
    if (session.isEmpty()) {
      throw new IllegalArgumentException("query parameter \"session\" is missing");
    }
    return session;
  }
}
