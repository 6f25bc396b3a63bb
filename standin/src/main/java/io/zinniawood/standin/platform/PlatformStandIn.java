package io.zinniawood.standin.platform;

import io.zinniawood.standin.http.Exchange;
import io.zinniawood.standin.http.Json;
import io.zinniawood.standin.http.Reply;
import io.zinniawood.standin.http.StandInServer;
import io.zinniawood.standin.http.TokenBucket;
import io.zinniawood.standin.platform.PlatformFaults.ListingFault;
import io.zinniawood.standin.platform.RequestFilter.Access;
import io.zinniawood.standin.platform.VersionedStore.Versioned;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Stand-in for the platform with fault switches; see {@code docs/standins.md}. */
public final class PlatformStandIn implements AutoCloseable {
  private static final String ABSENT_HEADER = "Platform-Absent";
  private final StandInServer server = new StandInServer("platform-standin");
  private final StoreState store = new StoreState();
  private final VmDirectory vms;
  private final TokenBucket weightTransferLimit;
  private final RequestFilter requestFilter;
  private final int defaultPort;

  /** Creates the stand-in; it listens after {@link #start(int)}. */
  public PlatformStandIn(PlatformSettings settings) {
    vms = new VmDirectory(server.timer(), settings.vmListDelayMillis(), settings.vms());
    weightTransferLimit =
        new TokenBucket(
            settings.weightTransfersPerSecond(), settings.weightBurst(), System.nanoTime());
    requestFilter = new RequestFilter(settings, store);
    defaultPort = settings.port();
    addTableRoutes();
    addObjectRoutes();
    addVmAndWeightRoutes();
    addControlRoutes();
  }

  /** Starts a stand-in on the port of its settings. */
  public static PlatformStandIn launch(PlatformSettings settings) {
    PlatformStandIn standIn = new PlatformStandIn(settings);
    standIn.start(standIn.defaultPort);
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

  /** Replaces the fault settings of all services. */
  public void setFaults(PlatformFaults faults) {
    for (PlatformService service : PlatformService.values()) {
      requestFilter.set(service, faults);
    }
  }

  /** Replaces the fault settings of one service. */
  public void setFaults(PlatformService service, PlatformFaults faults) {
    requestFilter.set(service, faults);
  }

  /** Adds or replaces a VM; the change is visible after the delay of the VM list. */
  public void putVm(VmRecord vm) {
    vms.put(vm);
  }

  /** Removes a VM; the change is visible after the delay of the VM list. */
  public void removeVm(String vm) {
    vms.remove(vm);
  }

  /** Writes an object without HTTP, for example a configuration file of a test. */
  public void putObject(String name, byte[] content) {
    store.objects().put(name, content);
  }

  /** Deletes an object without HTTP. */
  public void deleteObject(String name) {
    store.objects().delete(name);
  }

  /**
   * Restores an earlier state of table and object store, as a copy would. What was written since is
   * gone, versions are given out again, and the era rises by one.
   *
   * @param ageMillis age of the restored state in milliseconds, at most 60,000
   * @param awayMillis time in milliseconds for which both services answer with status 503
   */
  public void restore(long ageMillis, long awayMillis) {
    store.restore(ageMillis, awayMillis);
  }

  /** Returns the era of table and object store, which is the number of restores. */
  public long storeEra() {
    return store.era();
  }

  /** Returns the number of requests that arrived at a service. */
  public long received(PlatformService service) {
    return requestFilter.counters(service).received();
  }

  /** Returns the number of reads that a service executed. */
  public long reads(PlatformService service) {
    return requestFilter.counters(service).reads();
  }

  /** Returns the number of writes that a service executed, including version conflicts. */
  public long writes(PlatformService service) {
    return requestFilter.counters(service).writes();
  }

  @Override
  public void close() {
    server.close();
  }

  private void addTableRoutes() {
    server.route(
        "GET",
        "/table/row",
        exchange -> {
          String key = requiredParameter(exchange, "key");
          requestFilter.serve(
              exchange,
              PlatformService.TABLE,
              Access.READ,
              () -> valueReply(200, store.table().read(key)));
        });
    server.route(
        "PUT",
        "/table/row",
        exchange -> {
          String key = requiredParameter(exchange, "key");
          long expected = expectedVersion(exchange);
          requestFilter.serve(
              exchange,
              PlatformService.TABLE,
              Access.WRITE,
              () -> writeRow(key, expected, exchange.body()));
        });
  }

  private Reply writeRow(String key, long expected, byte[] body) {
    VersionedStore.WriteResult result = store.table().writeIfVersion(key, expected, body);
    return result
        .newVersion()
        .map(version -> Reply.bytes(200, new byte[0]).withHeader("ETag", entityTag(version)))
        .orElseGet(() -> valueReply(412, result.conflictingValue()));
  }

  private void addObjectRoutes() {
    server.route(
        "GET",
        "/objects/object",
        exchange -> {
          String name = requiredParameter(exchange, "name");
          requestFilter.serve(
              exchange,
              PlatformService.OBJECTS,
              Access.READ,
              () -> valueReply(200, store.objects().read(name)));
        });
    server.route(
        "PUT",
        "/objects/object",
        exchange -> {
          String name = requiredParameter(exchange, "name");
          requestFilter.serve(
              exchange,
              PlatformService.OBJECTS,
              Access.WRITE,
              () -> writeObject(name, exchange.body()));
        });
    server.route(
        "DELETE",
        "/objects/object",
        exchange -> {
          String name = requiredParameter(exchange, "name");
          requestFilter.serve(
              exchange,
              PlatformService.OBJECTS,
              Access.WRITE,
              () ->
                  store.objects().delete(name) ? Reply.bytes(204, new byte[0]) : absentReply(404));
        });
    server.route(
        "GET",
        "/objects/list",
        exchange -> {
          String prefix = exchange.parameter("prefix");
          requestFilter.serve(
              exchange, PlatformService.OBJECTS, Access.READ, () -> listing(prefix));
        });
  }

  private Reply writeObject(String name, byte[] body) {
    long version = store.objects().put(name, body);
    return Reply.bytes(200, new byte[0]).withHeader("ETag", entityTag(version));
  }

  private record ListedObject(String name, String version) {}

  private record Listing(boolean complete, List<ListedObject> objects) {}

  private Reply listing(String prefix) {
    ListingFault fault = requestFilter.faults(PlatformService.OBJECTS).listings();
    List<ListedObject> listed = new ArrayList<>();
    int index = 0;
    for (Map.Entry<String, Versioned> entry : store.objects().withPrefix(prefix).entrySet()) {
      if (fault == ListingFault.NONE || index % 2 == 0) {
        listed.add(new ListedObject(entry.getKey(), Long.toString(entry.getValue().version())));
      }
      index++;
    }
    return Reply.json(200, new Listing(fault != ListingFault.MARKED, listed));
  }

  private record TransferRequest(String model, String version) {}

  private record TransferAnswer(boolean granted, long retryAfterMillis) {}

  private void addVmAndWeightRoutes() {
    server.route(
        "GET",
        "/vms",
        exchange ->
            requestFilter.serve(
                exchange, PlatformService.VMS, Access.READ, () -> Reply.json(200, vms.listing())));
    server.route(
        "POST",
        "/weights/transfers",
        exchange -> {
          Json.read(exchange.body(), TransferRequest.class);
          requestFilter.serve(exchange, PlatformService.WEIGHTS, Access.WRITE, this::transfer);
        });
  }

  private Reply transfer() {
    long waitMillis = weightTransferLimit.takeOrWaitMillis(System.nanoTime());
    return Reply.json(200, new TransferAnswer(waitMillis == 0, waitMillis));
  }

  private record RestoreRequest(long ageMillis, long awayMillis) {}

  private record RestoreAnswer(long era) {}

  private void addControlRoutes() {
    server.route(
        "POST",
        "/control/faults",
        exchange -> {
          PlatformFaults faults = Json.read(exchange.body(), PlatformFaults.class);
          String kind = exchange.parameter("kind");
          if (kind.isEmpty()) {
            setFaults(faults);
          } else {
            setFaults(PlatformService.of(kind), faults);
          }
          exchange.respondJson(200, requestFilter.allFaults());
        });
    server.route(
        "GET", "/control/faults", exchange -> exchange.respondJson(200, requestFilter.allFaults()));
    server.route(
        "POST",
        "/control/restore",
        exchange -> {
          RestoreRequest request = Json.read(exchange.body(), RestoreRequest.class);
          exchange.respondJson(
              200, new RestoreAnswer(store.restore(request.ageMillis(), request.awayMillis())));
        });
    server.route(
        "GET",
        "/control/counters",
        exchange -> exchange.respondJson(200, requestFilter.allCounters()));
    server.route(
        "POST",
        "/control/vms",
        exchange -> {
          putVm(Json.read(exchange.body(), VmRecord.class));
          exchange.respondJson(200, vms.listing());
        });
    server.route(
        "DELETE",
        "/control/vms",
        exchange -> {
          removeVm(requiredParameter(exchange, "vm"));
          exchange.respondJson(200, vms.listing());
        });
  }

  private static Reply valueReply(int status, Optional<Versioned> value) {
    return value
        .map(
            found ->
                Reply.bytes(status, found.content()).withHeader("ETag", entityTag(found.version())))
        .orElseGet(() -> absentReply(status == 200 ? 404 : status));
  }

  private static Reply absentReply(int status) {
    return Reply.bytes(status, new byte[0]).withHeader(ABSENT_HEADER, "true");
  }

  private static String entityTag(long version) {
    return "\"" + version + "\"";
  }

  private static String requiredParameter(Exchange exchange, String name) {
    String value = exchange.parameter(name);
    if (value.isEmpty()) {
      throw new IllegalArgumentException("query parameter \"" + name + "\" is missing");
    }
    return value;
  }

  private static long expectedVersion(Exchange exchange) {
    if (exchange.header("If-None-Match").equals("*")) {
      return 0;
    }
    String tag = exchange.header("If-Match");
    try {
      long version = Long.parseLong(tag.replace("\"", ""));
      if (version >= 1) {
        return version;
      }
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(
          "If-Match must be a version number, but is \"" + tag + "\"", e);
    }
    throw new IllegalArgumentException("If-Match must be a version of at least 1, but is " + tag);
  }
}
