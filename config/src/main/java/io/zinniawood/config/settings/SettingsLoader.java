package io.zinniawood.config.settings;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.config.internal.Schema;
import io.zinniawood.config.internal.SettingsSchema;
import io.zinniawood.config.internal.TableReader;
import io.zinniawood.config.internal.TextFiles;
import io.zinniawood.config.internal.TomlDocument;
import io.zinniawood.config.internal.ValueTree;
import io.zinniawood.core.relay.SchedulingSettings;
import java.nio.file.Path;
import java.util.function.Function;

/** Reads and validates the settings file of a process; see `docs/configuration.md` for the keys. */
public final class SettingsLoader {
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final Vector<String> ROOT = Vector.empty();
  private static final Vector<String> TLS = Vector.of("tls");
  private static final Vector<String> SCHEDULING = Vector.of(SettingsSchema.SCHEDULING);
  private static final Vector<String> ENGINE = Vector.of("engine");
  private static final Vector<String> SERVICE = Vector.of("service");

  private SettingsLoader() {}

  /** Reads the settings of an entry, or returns all faults of the file. */
  public static Either<Vector<ConfigurationFault>, EntrySettings> loadEntry(Path file) {
    return load(file, SettingsSchema.ENTRY, SettingsLoader::readEntry);
  }

  /** Reads the settings of an agent, or returns all faults of the file. */
  public static Either<Vector<ConfigurationFault>, AgentSettings> loadAgent(Path file) {
    return load(file, SettingsSchema.AGENT, SettingsLoader::readAgent);
  }

  /** Reads the settings of a relay, or returns all faults of the file. */
  public static Either<Vector<ConfigurationFault>, RelaySettings> loadRelay(Path file) {
    return load(file, SettingsSchema.RELAY, SettingsLoader::readRelay);
  }

  private static <T> Either<Vector<ConfigurationFault>, T> load(
      Path file, Schema schema, Function<TableReader, Option<T>> build) {
    Either<ConfigurationFault, String> text = TextFiles.read(file, file.toString());
    if (text.isLeft()) {
      return Either.left(Vector.of(text.getLeft()));
    }
    TomlDocument document = TomlDocument.parse(file.toString(), text.get());
    Vector<ConfigurationFault> faults = schema.check(document);
    if (!document.faults().isEmpty()) {
      return Either.left(faults);
    }
    TableReader reader = new TableReader(ValueTree.empty().merge(document), file.toString());
    Option<T> settings = build.apply(reader);
    Vector<ConfigurationFault> all = faults.appendAll(reader.faults()).distinct();
    return all.isEmpty() && settings.isDefined()
        ? Either.right(settings.get())
        : Either.left(all.sortBy(ConfigurationFault::line));
  }

  private static Option<EntrySettings> readEntry(TableReader reader) {
    var vm = reader.get(ROOT, SettingsSchema.VM);
    var dataCentre = reader.get(ROOT, SettingsSchema.DATA_CENTRE);
    var callers = reader.get(ROOT, SettingsSchema.CALLERS);
    var admin = reader.get(ROOT, SettingsSchema.ADMIN);
    var peers = reader.get(ROOT, SettingsSchema.PEERS);
    var platform = reader.get(ROOT, SettingsSchema.PLATFORM);
    var maxBodyBytes = reader.get(ROOT, SettingsSchema.MAX_BODY_BYTES);
    var gracePeriodSeconds = reader.get(ROOT, SettingsSchema.GRACE_SECONDS);
    var drainGraceMillis = reader.get(ROOT, SettingsSchema.DRAIN_GRACE_MILLIS);
    var pollMillis = reader.get(ROOT, SettingsSchema.POLL_INTERVAL_MILLIS);
    Option<TlsSettings> tls = readTls(reader);
    if (callers.isDefined() && callers.equals(admin)) {
      reader.addFault(
          Vector.of(SettingsSchema.ADMIN.name()),
          "\"%s\"".formatted(admin.get()),
          "an address that differs from callers");
    }
    if (!reader.faults().isEmpty()) {
      return Option.none();
    }
    return Option.of(
        new EntrySettings(
            vm.get(),
            dataCentre.get(),
            callers.get(),
            admin.get(),
            peers.get(),
            platform.get(),
            Math.toIntExact(maxBodyBytes.get()),
            drainGraceMillis.get(),
            toMillis(gracePeriodSeconds.get()),
            pollMillis.get(),
            tls));
  }

  private static Option<RelaySettings> readRelay(TableReader reader) {
    var vm = reader.get(ROOT, SettingsSchema.VM);
    var dataCentre = reader.get(ROOT, SettingsSchema.DATA_CENTRE);
    var callers = reader.get(ROOT, SettingsSchema.CALLERS);
    var admin = reader.get(ROOT, SettingsSchema.ADMIN);
    var store = reader.get(ROOT, SettingsSchema.STORE);
    var peers = reader.get(ROOT, SettingsSchema.RELAY_PEERS);
    var firstStart = reader.get(ROOT, SettingsSchema.FIRST_START);
    var gracePeriodSeconds = reader.get(ROOT, SettingsSchema.RELAY_GRACE_SECONDS);
    Option<SchedulingSettings> scheduling = readScheduling(reader);
    if (callers.isDefined() && callers.equals(admin)) {
      reader.addFault(
          Vector.of(SettingsSchema.ADMIN.name()),
          "\"%s\"".formatted(admin.get()),
          "an address that differs from callers");
    }
    return reader.faults().isEmpty()
        ? Option.of(
            new RelaySettings(
                vm.get(),
                dataCentre.get(),
                callers.get(),
                admin.get(),
                store.get(),
                peers.get().toJavaOptional(),
                firstStart.get(),
                toMillis(gracePeriodSeconds.get()),
                scheduling.get()))
        : Option.none();
  }

  private static Option<SchedulingSettings> readScheduling(TableReader reader) {
    var loadSharing = reader.get(SCHEDULING, SettingsSchema.LOAD_SHARING);
    var waitForecast = reader.get(SCHEDULING, SettingsSchema.WAIT_FORECAST);
    var urgencyOrder = reader.get(SCHEDULING, SettingsSchema.URGENCY_ORDER);
    var paceLimit = reader.get(SCHEDULING, SettingsSchema.PACE_LIMIT);
    var overflow = reader.get(SCHEDULING, SettingsSchema.OVERFLOW);
    var processorGuard = reader.get(SCHEDULING, SettingsSchema.PROCESSOR_GUARD);
    var overflowCost = reader.get(SCHEDULING, SettingsSchema.OVERFLOW_COST);
    return reader.faults().isEmpty()
        ? Option.of(
            new SchedulingSettings(
                loadSharing.get(),
                waitForecast.get(),
                urgencyOrder.get(),
                paceLimit.get(),
                overflow.get(),
                processorGuard.get(),
                overflowCost.get()))
        : Option.none();
  }

  private static long toMillis(double seconds) {
    return Math.round(seconds * MILLIS_PER_SECOND);
  }

  private static Option<AgentSettings> readAgent(TableReader reader) {
    var endpoint = reader.get(ROOT, SettingsSchema.ENDPOINT);
    var dataCentre = reader.get(ROOT, SettingsSchema.DATA_CENTRE);
    var pool = reader.get(ROOT, SettingsSchema.POOL);
    var peers = reader.get(ROOT, SettingsSchema.PEERS);
    var platform = reader.get(ROOT, SettingsSchema.PLATFORM);
    var keptOutputBytes = reader.get(ROOT, SettingsSchema.KEPT_OUTPUT_BYTES);
    var gracePeriodSeconds = reader.get(ROOT, SettingsSchema.GRACE_SECONDS);
    Option<TlsSettings> tls = readTls(reader);
    Option<EndpointSettings> endpointSettings = readEndpoint(reader);
    if (!reader.faults().isEmpty()) {
      return Option.none();
    }
    return Option.of(
        new AgentSettings(
            endpoint.get(),
            dataCentre.get(),
            pool.get(),
            peers.get(),
            platform.get(),
            endpointSettings.get(),
            keptOutputBytes.get(),
            toMillis(gracePeriodSeconds.get()),
            tls));
  }

  private static Option<EndpointSettings> readEndpoint(TableReader reader) {
    boolean engine = reader.tree().hasTable("engine");
    boolean service = reader.tree().hasTable("service");
    if (engine == service) {
      reader.addFault(
          ENGINE,
          engine ? "both [engine] and [service]" : "neither [engine] nor [service]",
          "exactly one of them");
      return Option.none();
    }
    if (engine) {
      var address = reader.get(ENGINE, SettingsSchema.ADDRESS);
      var fencing = reader.get(ENGINE, SettingsSchema.FENCING);
      return address.flatMap(
          baseAddress -> fencing.map(check -> new EndpointSettings.Engine(baseAddress, check)));
    }
    var address = reader.get(SERVICE, SettingsSchema.ADDRESS);
    var name = reader.get(SERVICE, SettingsSchema.SERVICE);
    var maxConcurrent = reader.get(SERVICE, SettingsSchema.MAX_CONCURRENT);
    return address.flatMap(
        baseAddress ->
            name.flatMap(
                id ->
                    maxConcurrent.map(
                        count ->
                            new EndpointSettings.Service(
                                baseAddress, id, Math.toIntExact(count)))));
  }

  private static Option<TlsSettings> readTls(TableReader reader) {
    if (!reader.tree().hasTable("tls")) {
      return Option.none();
    }
    var chain = reader.get(TLS, SettingsSchema.CERTIFICATE_CHAIN);
    var key = reader.get(TLS, SettingsSchema.PRIVATE_KEY);
    var trusted = reader.get(TLS, SettingsSchema.TRUSTED_CERTIFICATES);
    return chain.flatMap(
        chainFile ->
            key.flatMap(
                keyFile ->
                    trusted.map(trustedFile -> new TlsSettings(chainFile, keyFile, trustedFile))));
  }
}
