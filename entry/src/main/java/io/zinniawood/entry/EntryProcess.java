package io.zinniawood.entry;

import io.netty.util.internal.PlatformDependent;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryTimer;
import io.zinniawood.core.entry.Readiness;
import io.zinniawood.core.message.Message.ObjectiveCounts;
import io.zinniawood.core.model.PackedStoreVersion;
import io.zinniawood.entry.internal.EntryEffects;
import io.zinniawood.entry.internal.EntryRecorder;
import io.zinniawood.entry.internal.FailedEffects;
import io.zinniawood.entry.internal.admin.AdminRoutes;
import io.zinniawood.entry.internal.admin.EntryMetrics;
import io.zinniawood.entry.internal.http.AdminConnectionSetup;
import io.zinniawood.entry.internal.http.CallerConfiguration;
import io.zinniawood.entry.internal.http.CallerConnections;
import io.zinniawood.entry.internal.http.CallerRoutes;
import io.zinniawood.entry.internal.http.HttpServer;
import io.zinniawood.entry.internal.http.MemoryShortages;
import io.zinniawood.entry.internal.http.OpenRequests;
import io.zinniawood.entry.internal.http.ProblemDocument;
import io.zinniawood.entry.internal.http.RequestIdGenerator;
import io.zinniawood.entry.internal.link.AgentLinks;
import io.zinniawood.entry.internal.link.ConfigurationHolder;
import io.zinniawood.entry.internal.relay.ClusterStateDistributor;
import io.zinniawood.entry.internal.store.ClaimReleaser;
import io.zinniawood.entry.internal.store.LeaseStore;
import io.zinniawood.ingress.DescriptorLimit;
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
 * Process of the entry role: serves callers and operators over HTTP and executes the effects of the
 * entry's reducer.
 *
 * @param <S> state of the reducer
 */
public final class EntryProcess<S> implements AutoCloseable {
  /** Bounds the memory of open requests; room for 64 requests/s that take 60 s each. */
  private static final int MAX_OPEN_REQUESTS = 4_096;

  private static final long STOP_CHECK_INTERVAL_MILLIS = 10;

  /** Allows 5 s in total, so that a caller that reads slowly cannot delay the stop further. */
  private static final int MAX_STOP_CHECKS = 500;

  /** Part of the grace period that is left for the last answers to reach their callers. */
  private static final long FLUSH_DIVISOR = 8;

  private static final long MAX_FLUSH_MILLIS = 1_000;

  private static final int CALLER_IO_THREADS = 2;
  private static final int ADMIN_IO_THREADS = 1;

  /** All requests share the connections to agents. */
  private static final int DESCRIPTORS_PER_CALLER = 1;

  private static final int ADMIN_MAX_BODY_BYTES = 1_024;

  /** Above the number of connections at which the oldest one gives way. */
  private static final int ADMIN_MAX_CONNECTIONS = 80;

  private final EntryDependencies<S> dependencies;
  private final EventLoop<S, EntryEvent, EntryEffect, EntryTimer> eventLoop;
  private final ScheduledExecutorService ticker;
  private final OpenRequests openRequests;
  private final ConfigurationHolder configuration;
  private final ClusterStateDistributor distributor;
  private final EntryMetrics metrics;
  private final EntryEffects effects;
  private final AtomicReference<Option<CallerConfiguration>> callerConfiguration =
      new AtomicReference<>(Option.none());
  private final AtomicReference<Readiness> readiness = new AtomicReference<>(Readiness.STARTING);
  private final CompletableFuture<Boolean> stopped = new CompletableFuture<>();
  private Option<HttpServer> callerServer = Option.none();
  private Option<HttpServer> adminServer = Option.none();

  /** Creates a process without starting it. */
  public EntryProcess(EntryDependencies<S> dependencies) {
    this.dependencies = dependencies;
    this.eventLoop =
        new EventLoop<>(
            "entry-loop",
            dependencies.initialState(),
            dependencies.reducer(),
            dependencies.clockNanos());
    this.ticker = Executors.newSingleThreadScheduledExecutor(EntryProcess::tickerThread);
    this.openRequests =
        new OpenRequests(
            MAX_OPEN_REQUESTS,
            request -> eventLoop.post(new EntryEvent.CallerDisconnected(request)));
    this.configuration =
        new ConfigurationHolder(
            dependencies.configuration(),
            dependencies.generation(),
            this::onAccepted,
            dependencies.observer()::onPeerGeneration,
            dependencies.clockNanos(),
            dependencies.logger());
    this.distributor = new ClusterStateDistributor(distributorDependencies());
    this.metrics = new EntryMetrics(dependencies.metrics(), dependencies.clockNanos());
    this.effects = new EntryEffects(targets());
  }

  private static Thread tickerThread(Runnable task) {
    Thread thread = new Thread(task, "entry-ticker");
    thread.setDaemon(true);
    return thread;
  }

  private ClusterStateDistributor.Dependencies distributorDependencies() {
    return new ClusterStateDistributor.Dependencies(
        dependencies.settings(),
        dependencies.transport(),
        dependencies.vmList(),
        dependencies.configuration(),
        configuration,
        eventLoop::post,
        dependencies.observer(),
        dependencies.clockNanos(),
        new SecureRandom(),
        dependencies.logger());
  }

  private EntryEffects.Targets targets() {
    EntrySettings settings = dependencies.settings();
    EntryRecorder recorder =
        new EntryRecorder(
            metrics, dependencies.observer(), dependencies.generation(), dependencies.logger());
    return new EntryEffects.Targets(
        openRequests,
        new AgentLinks(dependencies.transport(), eventLoop::post, configuration),
        new ClaimReleaser(
            settings.vm(), dependencies.table(), eventLoop::post, dependencies.logger()),
        new LeaseStore(dependencies.table(), eventLoop::post, dependencies.logger()),
        new EventLoopTimers(),
        this::setReadiness,
        recorder::record,
        recorder::record,
        () -> stopWhenResponsesWritten(MAX_STOP_CHECKS));
  }

  private final class EventLoopTimers implements EntryEffects.Timers {
    @Override
    public void start(EntryTimer timer, long delayNanos, EntryEvent event) {
      eventLoop.startTimer(timer, delayNanos(timer, delayNanos), event);
    }

    /** Returns the delay of a timer; those of the drain are settings. */
    private long delayNanos(EntryTimer timer, long defaultNanos) {
      EntrySettings settings = dependencies.settings();
      if (timer instanceof EntryTimer.DrainGrace) {
        return TimeUnit.MILLISECONDS.toNanos(settings.drainGraceMillis());
      }
      if (timer instanceof EntryTimer.DrainEnd) {
        long graceMillis = settings.gracePeriodMillis();
        long flushMillis = Math.min(MAX_FLUSH_MILLIS, graceMillis / FLUSH_DIVISOR);
        return TimeUnit.MILLISECONDS.toNanos(graceMillis - flushMillis);
      }
      return defaultNanos;
    }

    @Override
    public void cancel(EntryTimer timer) {
      eventLoop.cancelTimer(timer);
    }
  }

  /**
   * Starts the event loop, opens the ports and starts polling; throws if a port cannot be opened.
   */
  public void start() {
    EntrySettings settings = dependencies.settings();
    eventLoop.start(effect -> effect.accept(effects), FailedEffects::resultOf);
    metrics.registerGauge("zinniawood_open_requests", openRequests::count);
    metrics.registerGauge(
        "zinniawood_peer_received_bytes", () -> dependencies.transport().traffic().receivedBytes());
    metrics.registerGauge(
        "zinniawood_peer_sent_bytes", () -> dependencies.transport().traffic().sentBytes());
    metrics.registerGauge(
        "zinniawood_peer_received_frames",
        () -> dependencies.transport().traffic().receivedFrames());
    metrics.registerGauge(
        "zinniawood_peer_sent_frames", () -> dependencies.transport().traffic().sentFrames());
    metrics.registerGauge(
        "zinniawood_configuration_generation", () -> dependencies.generation().get().value());
    metrics.registerGauge(
        "zinniawood_store_era", () -> PackedStoreVersion.era(dependencies.table().absentVersion()));
    metrics.registerGauge("zinniawood_ready", () -> readiness.get() == Readiness.READY ? 1 : 0);
    adminServer = Option.some(startAdminServer());
    callerServer = Option.some(startCallerServer());
    Either<WireError, ?> listening = distributor.listen();
    if (listening.isLeft()) {
      throw new IllegalStateException(
          "cannot listen on %s: %s".formatted(settings.peers(), listening.getLeft().detail()));
    }
    dependencies.configuration().onNewerSnapshot(this::applyPendingConfiguration);
    ScheduledFuture<?> unused =
        ticker.scheduleWithFixedDelay(this::tick, 0, settings.pollMillis(), TimeUnit.MILLISECONDS);
  }

  private HttpServer startAdminServer() {
    AdminRoutes routes = new AdminRoutes(readiness::get, metrics, dependencies.reports());
    return HttpServer.start(
        dependencies.settings().admin(),
        ADMIN_MAX_BODY_BYTES,
        ADMIN_MAX_CONNECTIONS,
        ADMIN_IO_THREADS,
        new AdminConnectionSetup(),
        routes::install);
  }

  private HttpServer startCallerServer() {
    EntrySettings settings = dependencies.settings();
    RequestIdGenerator ids = new RequestIdGenerator();
    DescriptorLimit descriptors = DescriptorLimit.ofProcess(DESCRIPTORS_PER_CALLER);
    MemoryShortages shortages =
        new MemoryShortages(dependencies.logger(), dependencies.clockNanos());
    metrics.registerGauge("zinniawood_memory_refusals", shortages::refusals);
    CallerConnections connections =
        new CallerConnections(
            new CallerConnections.Limits(
                settings.maxBodyBytes(),
                Runtime.getRuntime().maxMemory(),
                PlatformDependent.maxDirectMemory(),
                descriptors.maxConnections(),
                CALLER_IO_THREADS),
            problem -> ProblemDocument.closingResponse(problem, ids.next()),
            shortages);
    CallerRoutes routes =
        new CallerRoutes(
            callerConfiguration::get,
            readiness::get,
            openRequests,
            ids,
            eventLoop::post,
            dependencies.clockNanos());
    return HttpServer.start(
        settings.callers(),
        settings.maxBodyBytes(),
        descriptors.maxConnections() + descriptors.maxAccepted(),
        CALLER_IO_THREADS,
        connections,
        routes::install);
  }

  private void tick() {
    try {
      distributor.tick();
    } catch (RuntimeException | Error failure) {
      // An uncaught exception would cancel the schedule and stop all later polls.
      dependencies.logger().log(Level.ERROR, "poll of VM list and configuration failed", failure);
    }
  }

  // Waits until the last responses are written, as Netty drops queued writes when its event loops
  // shut down.
  private void stopWhenResponsesWritten(int checksLeft) {
    if (openRequests.unsentResponses() == 0 || checksLeft == 0) {
      stopped.complete(true);
      return;
    }
    try {
      ScheduledFuture<?> unused =
          ticker.schedule(
              () -> stopWhenResponsesWritten(checksLeft - 1),
              STOP_CHECK_INTERVAL_MILLIS,
              TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException closed) {
      stopped.complete(true);
    }
  }

  private void applyPendingConfiguration() {
    try {
      ticker.execute(distributor::applyPendingConfiguration);
    } catch (RejectedExecutionException closed) {
      dependencies.logger().log(Level.DEBUG, "entry is closed; newer configuration is ignored");
    }
  }

  private void onAccepted(AcceptedConfiguration accepted) {
    callerConfiguration.set(Option.some(CallerConfiguration.of(accepted)));
    eventLoop.post(new EntryEvent.ConfigurationAccepted(accepted));
    dependencies.observer().onConfiguration(accepted);
    distributor.announceConfiguration();
  }

  private void setReadiness(Readiness next) {
    Readiness previous = readiness.getAndSet(next);
    if (previous != next) {
      dependencies.logger().log(Level.INFO, "readiness is {0}, was {1}", next, previous);
    }
  }

  /** Returns the current readiness. */
  public Readiness readiness() {
    return readiness.get();
  }

  /** Passes the current state to a reader on the event-loop thread; the reader must not block. */
  public void readState(Consumer<S> reader) {
    eventLoop.readState(reader);
  }

  /** Sends service-level counts to the entry that merges those of the data centre. */
  public void publish(ObjectiveCounts counts) {
    distributor.publishObjectiveCounts(counts);
  }

  /**
   * Starts the drain: the readiness check fails and requests in progress finish.
   *
   * @return completes when no request is in progress and the process may be closed
   */
  public CompletableFuture<Boolean> drain() {
    eventLoop.post(new EntryEvent.DrainRequested());
    return stopped.copy();
  }

  /** Closes the ports and connections immediately. */
  @Override
  public void close() {
    ticker.shutdownNow();
    callerServer.forEach(HttpServer::close);
    adminServer.forEach(HttpServer::close);
    dependencies.transport().close();
    dependencies.configuration().close();
    eventLoop.close();
    dependencies.observer().close();
    stopped.complete(true);
  }
}
