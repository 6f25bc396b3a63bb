package io.zinniawood.cli.process;

import com.codahale.metrics.MetricRegistry;
import io.netty.util.internal.PlatformDependent;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.config.settings.TlsSettings;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.PollMode;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryNode;
import io.zinniawood.core.entry.EntryReducer;
import io.zinniawood.core.entry.EntryState;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.entry.CurrentGeneration;
import io.zinniawood.entry.EntryDependencies;
import io.zinniawood.entry.EntryProcess;
import io.zinniawood.entry.acceptance.StoreConfigurationFeed;
import io.zinniawood.entry.reporting.EntryReports;
import io.zinniawood.entry.reporting.ReportedEntry;
import io.zinniawood.store.http.HttpPlatform;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTiming;
import io.zinniawood.wire.WireTls;
import io.zinniawood.wire.WireTransport;
import io.zinniawood.wire.WireTransports;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import okhttp3.OkHttpClient;

/** Creates entries from their settings. */
public final class EntryLauncher {
  private static final Logger LOGGER = System.getLogger("io.zinniawood.entry");
  private static final int WIRE_THREADS = 2;

  /** Share of the direct memory for peers; callers have half, the rest is for reads and writes. */
  private static final int WIRE_MEMORY_DIVISOR = 4;

  private EntryLauncher() {}

  /** Returns an entry that is not started, or an error if its certificates cannot be read. */
  public static Either<WireError, EntryProcess<EntryState>> create(EntrySettings settings) {
    long seed = new SecureRandom().nextLong();
    CurrentGeneration generation = new CurrentGeneration();
    return createTransport(settings, generation, seed)
        .map(transport -> createWithReports(settings, transport, generation, seed));
  }

  /**
   * Returns an entry with another reducer and without reports, for comparison of routing policies.
   *
   * @param seed random seed and incarnation of the entry; must differ between two starts of one VM
   * @param reducer reducer that handles the events of the entry
   * @param initialState state before the first event
   */
  public static <S> Either<WireError, EntryProcess<S>> create(
      EntrySettings settings,
      long seed,
      Reducer<S, EntryEvent, EntryEffect> reducer,
      S initialState) {
    CurrentGeneration generation = new CurrentGeneration();
    HttpPlatform platform = new HttpPlatform(settings.platform(), new OkHttpClient());
    return createTransport(settings, generation, seed)
        .map(
            transport ->
                new EntryProcess<>(
                    new EntryDependencies<>(
                        settings,
                        transport,
                        generation,
                        platform.table(),
                        platform.vmList(),
                        feed(settings, seed, platform, EntryLauncher::logNotice),
                        reducer,
                        initialState,
                        System::nanoTime,
                        LOGGER)));
  }

  private static Either<WireError, WireTransport> createTransport(
      EntrySettings settings, CurrentGeneration generation, long seed) {
    WirePeer self =
        new WirePeer(
            settings.vm().value(),
            VmRole.ENTRY,
            new Incarnation(seed),
            settings.dataCentre(),
            Option.none());
    return WireTransports.overTcp(
        self,
        generation,
        WireTiming.defaults(),
        tls(settings.tls()),
        PlatformDependent.maxDirectMemory() / WIRE_MEMORY_DIVISOR,
        WIRE_THREADS);
  }

  private static StoreConfigurationFeed feed(
      EntrySettings settings,
      long seed,
      HttpPlatform platform,
      Consumer<AcceptanceNotice> notices) {
    return new StoreConfigurationFeed(
        settings, seed, platform.objectStore(), platform.table(), notices);
  }

  private static EntryProcess<EntryState> createWithReports(
      EntrySettings settings, WireTransport transport, CurrentGeneration generation, long seed) {
    HttpPlatform platform = new HttpPlatform(settings.platform(), new OkHttpClient());
    // Breaks the cycle: the feed sends its notices to the reports, which set its poll mode.
    AtomicReference<Consumer<PollMode>> pollModeSetter = new AtomicReference<>(mode -> {});
    EntryReports reports =
        new EntryReports(
            new EntryReports.Dependencies(
                settings.vm().value(),
                settings.dataCentre().value(),
                Long.toHexString(seed),
                platform.objectStore(),
                platform.table(),
                mode -> pollModeSetter.get().accept(mode),
                System::currentTimeMillis,
                System::nanoTime));
    StoreConfigurationFeed feed =
        feed(
            settings,
            seed,
            platform,
            notice -> {
              logNotice(notice);
              reports.onAcceptanceNotice(notice);
            });
    pollModeSetter.set(feed::setLocalPollMode);
    EntryProcess<EntryState> process =
        new EntryProcess<>(
            new EntryDependencies<>(
                settings,
                transport,
                generation,
                platform.table(),
                platform.vmList(),
                feed,
                new EntryReducer(),
                EntryState.initial(new EntryNode(settings.vm(), settings.dataCentre()), seed),
                reports,
                reports,
                new MetricRegistry(),
                System::nanoTime,
                LOGGER));
    reports.start(new ReportedProcess(process));
    return process;
  }

  private record ReportedProcess(EntryProcess<EntryState> process) implements ReportedEntry {
    @Override
    public void readState(Consumer<EntryState> reader) {
      process.readState(reader);
    }

    @Override
    public void publish(Message.ObjectiveCounts counts) {
      process.publish(counts);
    }
  }

  private static void logNotice(AcceptanceNotice notice) {
    LOGGER.log(Level.INFO, "configuration: {0}", notice);
  }

  static Option<WireTls> tls(Option<TlsSettings> settings) {
    if (settings.isEmpty()) {
      LOGGER.log(
          Level.WARNING,
          "settings have no [tls] section: connections use plain TCP and peers are not"
              + " authenticated");
    }
    return settings.map(
        tls -> new WireTls(tls.certificateChain(), tls.privateKey(), tls.trustedCertificates()));
  }
}
