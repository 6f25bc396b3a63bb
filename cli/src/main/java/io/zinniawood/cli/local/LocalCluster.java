package io.zinniawood.cli.local;

import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.cli.process.EntryLauncher;
import io.zinniawood.config.settings.EntrySettings;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.entry.EntryProcess;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.standin.platform.VmRecord;
import io.zinniawood.wire.WireError;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Cluster of platform stand-in, endpoint stand-ins, agents and entries in one JVM on loopback. */
public final class LocalCluster implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final long DRAIN_GRACE_MILLIS = 200;
  private static final long GRACE_PERIOD_MILLIS = 30_000;
  private static final long POLL_MILLIS = 500;
  private static final String ENTRY_POOL = "entries";

  private final PlatformStandIn platform;
  private final URI platformUri;
  private final Map<String, LocalEndpoint> endpoints = new LinkedHashMap<>();
  private final List<EntryProcess<?>> entries = new ArrayList<>();
  private final List<EntrySettings> entrySettings = new ArrayList<>();

  private final EntryFactory entryFactory;

  /** Creates the entries of a cluster. */
  @FunctionalInterface
  public interface EntryFactory {
    /** Returns an entry that is not started. */
    Either<WireError, ? extends EntryProcess<?>> create(EntrySettings settings);
  }

  private LocalCluster(ClusterPlan plan, EntryFactory entryFactory) {
    this.entryFactory = entryFactory;
    platform =
        new PlatformStandIn(
            new PlatformSettings(0, plan.vmListDelayMillis(), 2, 4, 0, 0, List.of()));
    platformUri = URI.create("http://127.0.0.1:" + platform.start(0));
  }

  /** Starts a cluster. On return the entries may not have accepted the configuration yet. */
  public static LocalCluster start(ClusterPlan plan) {
    return start(plan, EntryLauncher::create);
  }

  /** Starts a cluster with entries of the given factory, for comparison of routing policies. */
  public static LocalCluster start(ClusterPlan plan, EntryFactory entryFactory) {
    LocalCluster cluster = new LocalCluster(plan, entryFactory);
    plan.files()
        .forEach(
            (name, text) ->
                cluster.platform.putObject(
                    "config/" + name, text.getBytes(StandardCharsets.UTF_8)));
    plan.endpoints().forEach(cluster::addEndpoint);
    for (String dataCentre : plan.entryDataCentres()) {
      cluster.addEntry(dataCentre);
    }
    return cluster;
  }

  /** Starts an endpoint and adds its VM to the VM list of the platform. */
  public LocalEndpoint addEndpoint(EndpointPlan plan) {
    LocalEndpoint endpoint = LocalEndpoint.start(plan, platformUri);
    endpoints.put(plan.endpoint(), endpoint);
    putVm(plan.endpoint(), "ENDPOINT", plan.dataCentre(), plan.pool(), endpoint.address());
    return endpoint;
  }

  private void addEntry(String dataCentre) {
    String vm = "entry-" + (entries.size() + 1);
    EntrySettings settings =
        new EntrySettings(
            new VmId(vm),
            new DataCentreId(dataCentre),
            Ports.free(),
            Ports.free(),
            Ports.free(),
            platformUri,
            MAX_BODY_BYTES,
            DRAIN_GRACE_MILLIS,
            GRACE_PERIOD_MILLIS,
            POLL_MILLIS,
            Option.none());
    EntryProcess<?> entry =
        entryFactory
            .create(settings)
            .getOrElseThrow(error -> new IllegalStateException(error.detail()));
    entry.start();
    entries.add(entry);
    entrySettings.add(settings);
    putEntryVm(vm, dataCentre, settings.peers());
  }

  /** Adds the VM of an entry outside this cluster to the VM list of the platform. */
  public void putEntryVm(String vm, String dataCentre, NodeAddress peers) {
    putVm(vm, "ENTRY", dataCentre, ENTRY_POOL, peers);
  }

  private void putVm(String vm, String role, String dataCentre, String pool, NodeAddress address) {
    platform.putVm(
        new VmRecord(vm, role, "LIVE", dataCentre, pool, address.host(), address.port()));
  }

  /** Returns the platform stand-in, for fault injection and inspection. */
  public PlatformStandIn platform() {
    return platform;
  }

  /** Returns the base address of the platform stand-in. */
  public URI platformUri() {
    return platformUri;
  }

  /** Returns the endpoints by id. */
  public Map<String, LocalEndpoint> endpoints() {
    return endpoints;
  }

  /** Returns the entries in the order of the plan. */
  public List<EntryProcess<?>> entries() {
    return entries;
  }

  /** Returns the base address of the callers' port of the entry with the given index. */
  public URI callersUri(int entry) {
    return URI.create("http://" + entrySettings.get(entry).callers());
  }

  /** Returns the base address of the operators' port of the entry with the given index. */
  public URI adminUri(int entry) {
    return URI.create("http://" + entrySettings.get(entry).admin());
  }

  @Override
  public void close() {
    entries.forEach(EntryProcess::close);
    endpoints.values().forEach(LocalEndpoint::close);
    platform.close();
  }
}
