package io.zinniawood.entry;

import io.vavr.control.Option;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryTimer;
import io.zinniawood.core.entry.Incident;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.entry.internal.EntryEffects;
import io.zinniawood.entry.internal.http.AcceptedView;
import io.zinniawood.entry.internal.http.CallerRoutes;
import io.zinniawood.entry.internal.http.HttpServer;
import io.zinniawood.entry.internal.http.OpenRequests;
import io.zinniawood.entry.internal.http.RequestIds;
import io.zinniawood.entry.internal.link.AgentLinks;
import io.zinniawood.entry.internal.link.ConfigurationKeeper;
import io.zinniawood.entry.internal.store.ClaimReleaser;
import io.zinniawood.entry.internal.store.LeaseStore;
import io.zinniawood.runtime.EventLoop;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Entry role: serves callers and operators and executes the effects of the entry's reducer.
 *
 * @param <S> state of the reducer
 */
public final class EntryProcess<S> implements AutoCloseable {
  /** Bounds the memory of open requests; 64 requests/s for 60 s fit. */
  private static final int MAX_OPEN_REQUESTS = 4_096;

  private static final int CALLER_IO_THREADS = 2;

  private final EntryDependencies<S> dependencies;
  private final EventLoop<S, EntryEvent, EntryEffect, EntryTimer> loop;
  private final ScheduledExecutorService pollers;
  private final OpenRequests openRequests;
  private final ConfigurationKeeper configuration;
  private final EntryEffects effects;
  private final AtomicReference<Option<AcceptedView>> view = new AtomicReference<>(Option.none());
  private final AtomicReference<Readiness> readiness = new AtomicReference<>(Readiness.STARTING);
  private final CompletableFuture<Boolean> stopped = new CompletableFuture<>();
  private Option<HttpServer> callers = Option.none();

  /** Creates a process that is not started. */
  public EntryProcess(EntryDependencies<S> dependencies) {
    this.dependencies = dependencies;
    this.loop =
        new EventLoop<>(
            "entry-loop",
            dependencies.initialState(),
            dependencies.reducer(),
            dependencies.clockNanos());
    this.pollers = Executors.newSingleThreadScheduledExecutor(EntryProcess::pollerThread);
    this.openRequests =
        new OpenRequests(
            MAX_OPEN_REQUESTS, request -> loop.post(new EntryEvent.CallerDisconnected(request)));
    this.configuration =
        new ConfigurationKeeper(
            dependencies.configuration(),
            dependencies.generation(),
            this::onAccepted,
            dependencies.clockNanos(),
            dependencies.logger());
    this.effects = new EntryEffects(targets());
  }

  private static Thread pollerThread(Runnable task) {
    Thread thread = new Thread(task, "entry-poller");
    thread.setDaemon(true);
    return thread;
  }

  private EntryEffects.Targets targets() {
    EntrySettings settings = dependencies.settings();
    return new EntryEffects.Targets(
        openRequests,
        new AgentLinks(dependencies.wire(), loop::post, configuration),
        new ClaimReleaser(settings.vm(), dependencies.table(), loop::post, dependencies.logger()),
        new LeaseStore(dependencies.table(), loop::post, dependencies.logger()),
        new LoopTimers(),
        readiness::set,
        this::onResult,
        this::onIncident,
        () -> stopped.complete(true));
  }

  private final class LoopTimers implements EntryEffects.Timers {
    @Override
    public void start(EntryTimer timer, long delayNanos, EntryEvent event) {
      loop.startTimer(timer, delayNanos, event);
    }

    @Override
    public void cancel(EntryTimer timer) {
      loop.cancelTimer(timer);
    }
  }

  /** Starts the event loop, the pollers and the ports; throws if a port is in use. */
  public void start() {
    EntrySettings settings = dependencies.settings();
    loop.start(effect -> effect.accept(effects));
    CallerRoutes routes =
        new CallerRoutes(
            view::get, openRequests, new RequestIds(), loop::post, dependencies.clockNanos());
    callers =
        Option.some(
            HttpServer.start(
                settings.callers(), settings.maxBodyBytes(), CALLER_IO_THREADS, routes::install));
    pollers.scheduleWithFixedDelay(this::poll, 0, settings.pollMillis(), TimeUnit.MILLISECONDS);
  }

  private void poll() {
    try {
      dependencies
          .vmList()
          .read()
          .thenAccept(
              result ->
                  result.forEach(
                      listing ->
                          loop.post(
                              new EntryEvent.VmListReceived(listing.version(), listing.vms()))));
      dependencies
          .configuration()
          .poll(dependencies.generation().get())
          .thenAccept(result -> result.forEach(found -> found.forEach(configuration::accept)));
    } catch (RuntimeException fault) {
      // An exception would end the schedule and with it all later polls.
      dependencies.logger().log(Level.ERROR, "poll failed", fault);
    }
  }

  private void onAccepted(AcceptedConfiguration accepted) {
    view.set(Option.some(AcceptedView.of(accepted)));
    loop.post(new EntryEvent.ConfigurationAccepted(accepted));
  }

  private void onResult(RequestResult result) {
    dependencies.logger().log(Level.DEBUG, "request {0} ended", result.request());
  }

  private void onIncident(Incident incident) {
    dependencies
        .logger()
        .log(Level.INFO, "{0} {1}: {2}", incident.kind(), incident.subject(), incident.detail());
  }

  /** Returns the present readiness. */
  public Readiness readiness() {
    return readiness.get();
  }

  /**
   * Starts the drain: readiness fails, requests in progress finish.
   *
   * @return completes when nothing is in progress and the process may be closed
   */
  public CompletableFuture<Boolean> drain() {
    loop.post(new EntryEvent.DrainRequested());
    return stopped.copy();
  }

  /** Closes the ports and connections at once. */
  @Override
  public void close() {
    pollers.shutdownNow();
    callers.forEach(HttpServer::close);
    dependencies.wire().close();
    loop.close();
    stopped.complete(true);
  }
}
