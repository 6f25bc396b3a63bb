package io.zinniawood.cli.process;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.config.settings.TlsSettings;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.entry.EntryEffect;
import io.zinniawood.core.entry.EntryEvent;
import io.zinniawood.core.entry.EntryNode;
import io.zinniawood.core.entry.EntryReducer;
import io.zinniawood.core.entry.EntryState;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.core.runtime.Reducer;
import io.zinniawood.entry.EntryDependencies;
import io.zinniawood.entry.EntryProcess;
import io.zinniawood.entry.GenerationCell;
import io.zinniawood.entry.acceptance.SyncedFeed;
import io.zinniawood.platform.http.HttpPlatform;
import io.zinniawood.wire.Wire;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.WireTiming;
import io.zinniawood.wire.WireTls;
import io.zinniawood.wire.Wires;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import okhttp3.OkHttpClient;

/** Builds an entry process from its settings. */
public final class EntryLauncher {
  private static final Logger LOGGER = System.getLogger("io.zinniawood.entry");
  private static final int WIRE_THREADS = 2;

  private EntryLauncher() {}

  /** Returns an entry that is not started, or an error if its certificates cannot be read. */
  public static Either<WireError, EntryProcess<EntryState>> create(EntrySettings settings) {
    long seed = new SecureRandom().nextLong();
    EntryNode self = new EntryNode(settings.vm(), settings.dataCentre());
    return create(settings, seed, new EntryReducer(), EntryState.initial(self, seed));
  }

  /**
   * Returns an entry with other decisions, for comparisons.
   *
   * @param settings settings of the entry
   * @param seed seed that differs between two starts of one VM
   * @param reducer decisions
   * @param initialState state before the first event
   */
  public static <S> Either<WireError, EntryProcess<S>> create(
      EntrySettings settings,
      long seed,
      Reducer<S, EntryEvent, EntryEffect> reducer,
      S initialState) {
    GenerationCell generation = new GenerationCell();
    WirePeer self =
        new WirePeer(
            settings.vm().value(),
            VmRole.ENTRY,
            new Incarnation(seed),
            settings.dataCentre(),
            Option.none());
    return Wires.overTcp(self, generation, WireTiming.defaults(), tls(settings.tls()), WIRE_THREADS)
        .map(
            wire ->
                new EntryProcess<>(
                    dependencies(settings, wire, generation, seed, reducer, initialState)));
  }

  private static <S> EntryDependencies<S> dependencies(
      EntrySettings settings,
      Wire wire,
      GenerationCell generation,
      long seed,
      Reducer<S, EntryEvent, EntryEffect> reducer,
      S initialState) {
    HttpPlatform platform = new HttpPlatform(settings.platform(), new OkHttpClient());
    SyncedFeed feed =
        new SyncedFeed(
            settings, seed, platform.objectStore(), platform.table(), EntryLauncher::log);
    return new EntryDependencies<>(
        settings,
        wire,
        generation,
        platform.table(),
        platform.vmList(),
        feed,
        reducer,
        initialState,
        System::nanoTime,
        LOGGER);
  }

  private static void log(AcceptanceNotice notice) {
    LOGGER.log(Level.INFO, "configuration: {0}", notice);
  }

  static Option<WireTls> tls(Option<TlsSettings> settings) {
    if (settings.isEmpty()) {
      LOGGER.log(
          Level.WARNING,
          "no [tls] certificates in the settings: peers are not authenticated and plain TCP is"
              + " used");
    }
    return settings.map(
        tls -> new WireTls(tls.certificateChain(), tls.privateKey(), tls.trustedCertificates()));
  }
}
