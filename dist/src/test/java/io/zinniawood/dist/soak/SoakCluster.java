package io.zinniawood.dist.soak;

import io.zinniawood.cli.local.Ports;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.dist.RoleProcess;
import io.zinniawood.dist.users.EndpointStandIn;
import io.zinniawood.dist.users.RoutesDocument;
import io.zinniawood.dist.users.StoreStandIn;
import io.zinniawood.standin.proxy.FaultProxy;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Relay processes, a store and endpoints, with fault proxies on the connections between them. */
final class SoakCluster implements AutoCloseable {
  private static final int RELAY_COUNT = 3;

  /** The options of the deployment. */
  private static final RoleProcess.Limits LIMITS =
      new RoleProcess.Limits(
          "-Xmx160m -Xss512k -XX:TieredStopAtLevel=1 -XX:+ExitOnOutOfMemoryError"
              + " -XX:MaxDirectMemorySize=64m",
          4_100);

  private static final int FAULTY_ENDPOINTS = 4;

  /** Exit code of a process that SIGHUP has ended. */
  private static final int SIGHUP_EXIT_CODE = 129;

  /** Exit code of a process that SIGTERM has ended before its handler was installed. */
  private static final int SIGTERM_EXIT_CODE = 143;

  private final Violations violations;

  final StoreStandIn store = new StoreStandIn();
  final List<Relay> relays = new ArrayList<>();
  final List<EndpointStandIn> endpoints = new ArrayList<>();

  /** Endpoints without a proxy, as the end of their processes is a fault to be seen as it is. */
  final List<FaultyEndpointProcess> faultyEndpoints = new ArrayList<>();

  /** Proxies between relays and endpoints. */
  final List<FaultProxy> endpointProxies = new ArrayList<>();

  private final AtomicInteger routesVersion = new AtomicInteger();

  /**
   * A relay with the proxies between callers and the relay, and between the relay and the store.
   */
  final class Relay {
    final int number;
    final NodeAddress callersAddress = Ports.free();
    final NodeAddress adminAddress = Ports.free();
    private final NodeAddress peersAddress = Ports.free();
    final FaultProxy callerProxy = FaultProxy.launch(callersAddress.port());
    final FaultProxy storeProxy = FaultProxy.launch(store.address().port());

    /** Number of starts; a relay loses the state it holds in memory when its process ends. */
    final AtomicInteger incarnation = new AtomicInteger();

    private RoleProcess process;
    private boolean hangupDuringStartup;

    Relay(int number) {
      this.number = number;
      start();
    }

    synchronized void start() {
      incarnation.incrementAndGet();
      hangupDuringStartup = false;
      process =
          RoleProcess.start(
              "relay",
              "soak-relay-%d.%d".formatted(number, incarnation.get()),
              LIMITS,
              """
              vm = "relay-%d"
              data_centre = "home"
              callers = "%s"
              admin = "%s"
              store = "127.0.0.1:%d"
              peers = "%s"
              first_start = "%s"
              """
                  .formatted(
                      number,
                      callersAddress,
                      adminAddress,
                      storeProxy.port(),
                      peersAddress,
                      incarnation.get() == 1));
    }

    /** Sends a signal to the process; starts a new process first if the old one has exited. */
    synchronized void signal(String signal) {
      restartIfEnded();
      // A JVM cannot handle signals before it runs main, which a loaded machine may delay by
      // seconds. RelayTest checks that the relay ignores SIGHUP from then on.
      hangupDuringStartup |= signal.equals("HUP") && !process.hasOutput();
      process.signal(signal);
    }

    /**
     * Starts the relay again if its process has exited, as the platform does. An exit is a
     * violation unless SIGHUP during the startup caused it.
     */
    synchronized void restartIfEnded() {
      if (process.isAlive()) {
        return;
      }
      int code = process.awaitExitCode();
      violations.check(
          code == SIGHUP_EXIT_CODE && hangupDuringStartup,
          "relay %d.%d exited unexpectedly with code %d"
              .formatted(number, incarnation.get(), code));
      start();
    }

    /** Drains the process with SIGTERM, checks its exit code and starts the relay again. */
    synchronized void restartGracefully() {
      signal("CONT");
      boolean starting = !process.hasOutput();
      signal("TERM");
      int code = process.awaitExitCode();
      violations.check(
          code == 0 || starting && code == SIGTERM_EXIT_CODE,
          "relay %d.%d drained with exit code %d".formatted(number, incarnation.get(), code));
      start();
    }

    synchronized RoleProcess process() {
      return process;
    }

    /** Returns a URL without a proxy. */
    String directUrl(String path) {
      return "http://" + callersAddress + path;
    }

    String url(String path) {
      return "http://127.0.0.1:" + callerProxy.port() + path;
    }
  }

  /**
   * Starts all processes.
   *
   * @param seed seed of the faults of the answers
   */
  SoakCluster(Violations violations, long seed) throws IOException {
    this.violations = violations;
    rotateKey();
    addEndpoint("first", "model", "gpu");
    addEndpoint("second", "model", "gpu");
    addEndpoint("third", "model", "gpu");
    addEndpoint("plain-1", "plain", "");
    addEndpoint("plain-2", "plain", "");
    for (int number = 1; number <= FAULTY_ENDPOINTS; number++) {
      String service = number % 2 == 0 ? "model" : "plain";
      faultyEndpoints.add(
          new FaultyEndpointProcess(
              store, "faulty-" + service + "-" + number, service, seed * 1_000 + number * 100));
    }
    for (int number = 1; number <= RELAY_COUNT; number++) {
      relays.add(new Relay(number));
    }
  }

  private void addEndpoint(String id, String service, String acceleratorKind) throws IOException {
    EndpointStandIn endpoint = new EndpointStandIn(store, id, service, acceleratorKind);
    FaultProxy proxy = FaultProxy.launch(endpoint.address().port());
    endpoint.advertise(new NodeAddress("127.0.0.1", proxy.port()));
    endpoints.add(endpoint);
    endpointProxies.add(proxy);
  }

  /**
   * Writes the next version of the routes, whose only API key is a new one; returns the version.
   */
  int rotateKey() {
    int version = routesVersion.incrementAndGet();
    store.put("op", "config", RoutesDocument.json(version, key(version)));
    return version;
  }

  int routesVersion() {
    return routesVersion.get();
  }

  static String key(int version) {
    return "key-" + version;
  }

  /** Returns the lines of the ledgers of all endpoints that keep one. */
  List<String[]> ledger() {
    return faultyEndpoints.stream().flatMap(endpoint -> endpoint.ledger().stream()).toList();
  }

  /** Returns how often all endpoints without a ledger together ran a request. */
  int runs(String request) {
    return endpoints.stream()
        .mapToInt(endpoint -> endpoint.runsByRequest().getOrDefault(request, 0))
        .sum();
  }

  @Override
  public void close() {
    for (Relay relay : relays) {
      relay.process().close();
      relay.callerProxy.close();
      relay.storeProxy.close();
    }
    endpointProxies.forEach(FaultProxy::close);
    endpoints.forEach(EndpointStandIn::close);
    faultyEndpoints.forEach(FaultyEndpointProcess::close);
    store.close();
  }
}
