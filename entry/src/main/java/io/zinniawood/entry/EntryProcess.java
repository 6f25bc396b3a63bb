package io.zinniawood.entry;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryTimer;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.message.Message.ObjectiveCounts;
import io.zinniawood.entry.internal.EntryEffects;
import io.zinniawood.entry.internal.EntryRecords;
import io.zinniawood.entry.internal.admin.AdminRoutes;
import io.zinniawood.entry.internal.admin.EntryMetrics;
import io.zinniawood.entry.internal.http.AcceptedView;
import io.zinniawood.entry.internal.http.CallerRoutes;
import io.zinniawood.entry.internal.http.HttpServer;
import io.zinniawood.entry.internal.http.OpenRequests;
import io.zinniawood.entry.internal.http.RequestIds;
import io.zinniawood.entry.internal.link.AgentLinks;
import io.zinniawood.entry.internal.link.ConfigurationKeeper;
import io.zinniawood.entry.internal.relay.EntryRelay;
import io.zinniawood.entry.internal.store.ClaimReleaser;
import io.zinniawood.entry.internal.store.LeaseStore;
import io.zinniawood.runtime.EventLoop;
import io.zinniawood.wire.WireError;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Entry role: serves callers and operators and executes the effects of the entry's reducer.
 *
 * @param <S> state of the reducer
 */
public final class EntryProcess<S> implements AutoCloseable {
  /** Bounds the memory of open requests; 64 requests/s for 60 s fit. */
  private static final int MAX_OPEN_REQUESTS = 4_096;

  private static final long STOP_CHECK_MILLIS = 10;

  /** Five seconds in all; a caller that reads slower than that does not hold the process. */
  private static final int STOP_CHECKS = 500;

  private static final int CALLER_IO_THREADS = 2;
  private static final int ADMIN_IO_THREADS = 1;
  private static final int ADMIN_MAX_BODY_BYTES = 1_024;

  private final EntryDependencies<S> dependencies;
  private final EventLoop<S, EntryEvent, EntryEffect, EntryTimer> loop;
  private final ScheduledExecutorService ticker;
  private final OpenRequests openRequests;
  private final ConfigurationKeeper configuration;
  private final EntryRelay relay;
  private final EntryMetrics metrics;
  private final EntryEffects effects;
  private final AtomicReference<Option<AcceptedView>> view = new AtomicReference<>(Option.none());
  private final AtomicReference<Readiness> readiness = new AtomicReference<>(Readiness.STARTING);
  private final CompletableFuture<Boolean> stopped = new CompletableFuture<>();
  private Option<HttpServer> callers = Option.none();
  private Option<HttpServer> admin = Option.none();

  /** Creates a process that is not started. */
  public EntryProcess(EntryDependencies<S> dependencies) {
    this.dependencies = dependencies;
    this.loop =
        new EventLoop<>(
            "entry-loop",
            dependencies.initialState(),
            dependencies.reducer(),
            dependencies.clockNanos());
    this.ticker = Executors.newSingleThreadScheduledExecutor(EntryProcess::tickerThread);
    this.openRequests =
        new OpenRequests(
            MAX_OPEN_REQUESTS, request -> loop.post(new EntryEvent.CallerDisconnected(request)));
    this.configuration =
        new ConfigurationKeeper(
            dependencies.configuration(),
            dependencies.generation(),
            this::onAccepted,
            dependencies.observer()::onPeerGeneration,
            dependencies.clockNanos(),
            dependencies.logger());
    this.relay = new EntryRelay(relayParts());
    this.metrics = new EntryMetrics(dependencies.metrics(), dependencies.clockNanos());
    this.effects = new EntryEffects(targets());
  }

  private static Thread tickerThread(Runnable task) {
    Thread thread = new Thread(task, "entry-ticker");
    thread.setDaemon(true);
    return thread;
  }

  private EntryRelay.Parts relayParts() {
    return new EntryRelay.Parts(
        dependencies.settings(),
        dependencies.wire(),
        dependencies.vmList(),
        dependencies.configuration(),
        configuration,
        loop::post,
        dependencies.observer(),
        dependencies.clockNanos(),
        new SecureRandom(),
        dependencies.logger());
  }

  private EntryEffects.Targets targets() {
    EntrySettings settings = dependencies.settings();
    EntryRecords records =
        new EntryRecords(
            metrics, dependencies.observer(), dependencies.generation(), dependencies.logger());
    return new EntryEffects.Targets(
        openRequests,
        new AgentLinks(dependencies.wire(), loop::post, configuration),
        new ClaimReleaser(settings.vm(), dependencies.table(), loop::post, dependencies.logger()),
        new LeaseStore(dependencies.table(), loop::post, dependencies.logger()),
        new LoopTimers(),
        this::setReadiness,
        records::record,
        records::record,
        () -> stopWhenWritten(STOP_CHECKS));
  }

  private final class LoopTimers implements EntryEffects.Timers {
    @Override
    public void start(EntryTimer timer, long delayNanos, EntryEvent event) {
      // The settings know how long the balancer takes to notice; the reducer has a default.
      boolean grace = timer instanceof EntryTimer.DrainGrace;
      long graceMillis = dependencies.settings().drainGraceMillis();
      loop.startTimer(
          timer, grace ? TimeUnit.MILLISECONDS.toNanos(graceMillis) : delayNanos, event);
    }

    @Override
    public void cancel(EntryTimer timer) {
      loop.cancelTimer(timer);
    }
  }

  /** Starts the event loop, the ports and the polls; throws if a port cannot be opened. */
  public void start() {
    EntrySettings settings = dependencies.settings();
    loop.start(effect -> effect.accept(effects));
    metrics.gauge("zinniawood_open_requests", openRequests::count);
    metrics.gauge(
        "zinniawood_peer_received_bytes", () -> dependencies.wire().traffic().receivedBytes());
    metrics.gauge("zinniawood_peer_sent_bytes", () -> dependencies.wire().traffic().sentBytes());
    metrics.gauge(
        "zinniawood_peer_received_frames", () -> dependencies.wire().traffic().receivedFrames());
    metrics.gauge("zinniawood_peer_sent_frames", () -> dependencies.wire().traffic().sentFrames());
    metrics.gauge(
        "zinniawood_configuration_generation", () -> dependencies.generation().get().value());
    metrics.gauge("zinniawood_ready", () -> readiness.get() == Readiness.READY ? 1 : 0);
    AdminRoutes adminRoutes = new AdminRoutes(readiness::get, metrics, dependencies.reports());
    admin =
        Option.some(
            HttpServer.start(
                settings.admin(), ADMIN_MAX_BODY_BYTES, ADMIN_IO_THREADS, adminRoutes::install));
    CallerRoutes callerRoutes =
        new CallerRoutes(
            view::get,
            readiness::get,
            openRequests,
            new RequestIds(),
            loop::post,
            dependencies.clockNanos());
    callers =
        Option.some(
            HttpServer.start(
                settings.callers(),
                settings.maxBodyBytes(),
                CALLER_IO_THREADS,
                callerRoutes::install));
    Either<WireError, ?> listening = relay.listen();
    if (listening.isLeft()) {
      throw new IllegalStateException(
          "cannot listen on %s: %s".formatted(settings.peers(), listening.getLeft().detail()));
    }
    dependencies.configuration().onNewer(this::collectConfiguration);
    ScheduledFuture<?> unused =
        ticker.scheduleWithFixedDelay(this::tick, 0, settings.pollMillis(), TimeUnit.MILLISECONDS);
  }

  private void tick() {
    try {
      relay.tick();
    } catch (RuntimeException fault) {
      // An exception would end the schedule and with it all later polls.
      dependencies.logger().log(Level.ERROR, "poll failed", fault);
    }
  }

  // Netty drops queued writes when its loops shut down, so the last answers must be sent before.
  private void stopWhenWritten(int checksLeft) {
    if (openRequests.writing() == 0 || checksLeft == 0) {
      stopped.complete(true);
      return;
    }
    try {
      ScheduledFuture<?> unused =
          ticker.schedule(
              () -> stopWhenWritten(checksLeft - 1), STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException closed) {
      stopped.complete(true);
    }
  }

  private void collectConfiguration() {
    try {
      ticker.execute(relay::collectConfiguration);
    } catch (RejectedExecutionException closed) {
      dependencies.logger().log(Level.DEBUG, "entry is closed, configuration not taken");
    }
  }

  private void onAccepted(AcceptedConfiguration accepted) {
    view.set(Option.some(AcceptedView.of(accepted)));
    loop.post(new EntryEvent.ConfigurationAccepted(accepted));
    dependencies.observer().onConfiguration(accepted);
    relay.announceConfiguration();
  }

  private void setReadiness(Readiness next) {
    Readiness previous = readiness.getAndSet(next);
    if (previous != next) {
      dependencies.logger().log(Level.INFO, "readiness is {0}, was {1}", next, previous);
    }
  }

  /** Returns the present readiness. */
  public Readiness readiness() {
    return readiness.get();
  }

  /** Runs a task with the present state on the event-loop thread; must not block. */
  public void read(Consumer<S> reader) {
    loop.readState(reader);
  }

  /** Passes service-level counts to the entry that merges those of the data centre. */
  public void publish(ObjectiveCounts counts) {
    relay.publish(counts);
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
    ticker.shutdownNow();
    callers.forEach(HttpServer::close);
    admin.forEach(HttpServer::close);
    dependencies.wire().close();
    dependencies.configuration().close();
    loop.close();
    dependencies.observer().close();
    stopped.complete(true);
  }
}
