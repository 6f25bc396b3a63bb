package io.zinniawood.dist;

import io.zinniawood.cli.local.DemoPlan;
import io.zinniawood.cli.local.Ports;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.standin.engine.EngineSettings;
import io.zinniawood.standin.engine.EngineStandIn;
import io.zinniawood.standin.engine.ModelParameters;
import io.zinniawood.standin.platform.PlatformSettings;
import io.zinniawood.standin.platform.PlatformStandIn;
import io.zinniawood.standin.platform.VmRecord;
import io.zinniawood.standin.proxy.FaultProxy;
import io.zinniawood.standin.service.ServiceSettings;
import io.zinniawood.standin.service.ServiceStandIn;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cluster with entries and agents as separate processes, and with stand-ins for the platform,
 * engines and services in this JVM.
 */
final class ProcessCluster implements AutoCloseable {
  static final String API_KEY = "it-key";
  static final ModelParameters MODEL = new ModelParameters("assistant", "v1", 8, 0);

  private static final String DATA_CENTRE = "tampere";

  /** Shorter than the default of 2 s, to shorten the tests. */
  private static final long TEST_POLL_MILLIS = 300;

  private final PlatformStandIn platform = new PlatformStandIn(PlatformSettings.unlimited());
  private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final String name;
  private final long pollMillis;

  /**
   * An endpoint with its agent. Entries connect to the agent through the fault proxy.
   *
   * @param peers address on which the agent listens for peers
   * @param engine engine stand-in, null if the endpoint is a service
   * @param service service stand-in, null if the endpoint is an engine
   */
  record Endpoint(
      RoleProcess agent,
      NodeAddress peers,
      FaultProxy proxy,
      EngineStandIn engine,
      ServiceStandIn service) {}

  /**
   * An entry process with its addresses.
   *
   * @param callersUri base URI for requests of callers
   * @param adminUri base URI for probes and metrics
   * @param peers address on which the entry listens for peers
   */
  record Entry(RoleProcess process, URI callersUri, URI adminUri, NodeAddress peers) {}

  /** Starts a platform with the base configuration and without VMs; entries poll every 300 ms. */
  ProcessCluster(String name) {
    this(name, TEST_POLL_MILLIS);
  }

  /** Starts a platform as the other constructor does; entries poll it every {@code pollMillis}. */
  ProcessCluster(String name, long pollMillis) {
    this.name = name;
    this.pollMillis = pollMillis;
    platform.start(0);
    putConfigurationFile(
        "10-base.toml",
        """
        [client_accounts.kiosk]
        key_sha256 = ["%s"]
        requests_per_second = 5000
        burst_requests = 5000
        max_concurrent = 500

        [models.assistant]
        layers = %d
        max_tokens = 400

        [services.credit]
        idempotent_methods = ["GET"]
        """
            .formatted(DemoPlan.sha256Hex(API_KEY), MODEL.layers()));
  }

  PlatformStandIn platform() {
    return platform;
  }

  Endpoint endpoint(String id) {
    return endpoints.get(id);
  }

  Entry entry(String id) {
    return entries.get(id);
  }

  /** Writes a file into the configuration folder of the platform. */
  void putConfigurationFile(String file, String text) {
    platform.putObject("config/" + file, text.getBytes(StandardCharsets.UTF_8));
  }

  private String platformUri() {
    return "http://127.0.0.1:" + platform.port();
  }

  /** Starts an engine without delay that serves a range of layers, and its agent. */
  void addEngine(String id, int fromLayer, int toLayerExclusive) {
    EngineStandIn engine =
        new EngineStandIn(EngineSettings.unlimited(MODEL, fromLayer, toLayerExclusive));
    int port = engine.start(0);
    String endpointSettings = "[engine]\naddress = \"http://127.0.0.1:%d\"\n".formatted(port);
    addEndpoint(id, "assistant-" + fromLayer, endpointSettings, engine, null);
  }

  /** Starts a credit service and its agent. */
  void addService(String id) {
    ServiceStandIn service = new ServiceStandIn(ServiceSettings.unlimited());
    int port = service.start(0);
    String endpointSettings =
        "[service]\naddress = \"http://127.0.0.1:%d\"\nname = \"credit\"\n".formatted(port);
    addEndpoint(id, "credit", endpointSettings, null, service);
  }

  private void addEndpoint(
      String id,
      String pool,
      String endpointSettings,
      EngineStandIn engine,
      ServiceStandIn service) {
    NodeAddress address = Ports.free();
    RoleProcess agent =
        RoleProcess.start(
            "agent",
            name + "-" + id,
            """
        endpoint = "%s"
        data_centre = "%s"
        pool = "%s"
        peers = "%s"
        platform = "%s"
        %s
        """
                .formatted(id, DATA_CENTRE, pool, address, platformUri(), endpointSettings));
    FaultProxy proxy = FaultProxy.launch(address.port());
    endpoints.put(id, new Endpoint(agent, address, proxy, engine, service));
    putVm(id, "ENDPOINT", pool, proxy.port());
  }

  private void putVm(String vm, String role, String pool, int port) {
    platform.putVm(new VmRecord(vm, role, "LIVE", DATA_CENTRE, pool, "127.0.0.1", port));
  }

  /** Starts an entry process and adds it to the VM list. */
  void addEntry(String id) {
    addEntry(id, RoleProcess.Limits.NONE);
  }

  /** Starts an entry process under limits and adds it to the VM list. */
  void addEntry(String id, RoleProcess.Limits limits) {
    NodeAddress callers = Ports.free();
    NodeAddress admin = Ports.free();
    NodeAddress peers = Ports.free();
    String settings =
        """
        vm = "%s"
        data_centre = "%s"
        callers = "%s"
        admin = "%s"
        peers = "%s"
        platform = "%s"
        poll_ms = %d
        drain_grace_ms = 500
        """
            .formatted(id, DATA_CENTRE, callers, admin, peers, platformUri(), pollMillis);
    RoleProcess process = RoleProcess.start("entry", name + "-" + id, limits, settings);
    entries.put(
        id,
        new Entry(process, URI.create("http://" + callers), URI.create("http://" + admin), peers));
    putVm(id, "ENTRY", "entries", peers.port());
  }

  /** Kills an entry process and starts it again on the same addresses. */
  void restartEntry(String id, RoleProcess.Limits limits) {
    Entry ended = entries.get(id);
    ended.process().kill();
    RoleProcess process = RoleProcess.restart("entry", name + "-" + id, limits);
    entries.put(id, new Entry(process, ended.callersUri(), ended.adminUri(), ended.peers()));
  }

  @Override
  public void close() {
    entries.values().forEach(entry -> entry.process().close());
    for (Endpoint endpoint : endpoints.values()) {
      endpoint.agent().close();
      endpoint.proxy().close();
      if (endpoint.engine() != null) {
        endpoint.engine().close();
      }
      if (endpoint.service() != null) {
        endpoint.service().close();
      }
    }
    platform.close();
  }
}
