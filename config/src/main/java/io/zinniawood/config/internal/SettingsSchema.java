package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.settings.EndpointSettings.FencingCheck;
import io.zinniawood.config.settings.RelaySettings.FirstStart;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.SchedulingSettings.Mode;
import java.net.URI;
import java.nio.file.Path;
import java.util.Locale;

/** Tables and keys of the settings files; `docs/configuration.md` describes them. */
public final class SettingsSchema {
  private static final String EXPECTED_ID = "a string of 1 to 256 characters";

  /** Id of the VM of an entry or a relay. */
  public static final Field<VmId> VM = Field.parsed("vm", EXPECTED_ID, VmId::new);

  /** Id of an endpoint. */
  public static final Field<EndpointId> ENDPOINT =
      Field.parsed("endpoint", EXPECTED_ID, EndpointId::new);

  /** Data centre of the VM. */
  public static final Field<DataCentreId> DATA_CENTRE =
      Field.parsed("data_centre", EXPECTED_ID, DataCentreId::new);

  /** Pool of an endpoint. */
  public static final Field<PoolId> POOL = Field.parsed("pool", EXPECTED_ID, PoolId::new);

  /** Listen address of the HTTP port for callers. */
  public static final Field<NodeAddress> CALLERS = address("callers", 8080);

  /** Listen address of the HTTP port for operators. */
  public static final Field<NodeAddress> ADMIN = address("admin", 8081);

  /** Listen address of the peer protocol. */
  public static final Field<NodeAddress> PEERS = address("peers", 8090);

  /** Listen address for the datagrams of other relays. */
  public static final Field<Option<NodeAddress>> RELAY_PEERS = requiredAddress("peers").optional();

  /** Base address of the platform. */
  public static final Field<URI> PLATFORM =
      uri("platform").withDefault(URI.create("http://127.0.0.1:9000"));

  /** Largest request body in bytes. */
  public static final Field<Long> MAX_BODY_BYTES =
      Field.integer("max_body_bytes", 1_024, 64 * 1024 * 1024).withDefault(1024L * 1024);

  /** Time for which a draining entry still accepts requests, in milliseconds. */
  public static final Field<Long> DRAIN_GRACE_MILLIS =
      Field.integer("drain_grace_ms", 0, 600_000).withDefault(3_000L);

  /** Time in seconds from the termination request until an entry or agent is killed. */
  public static final Field<Double> GRACE_SECONDS =
      Field.number("grace_s", 0, 86_400).withDefault(120.0);

  /** Interval between reads of the configuration folder and the VM list, in milliseconds. */
  public static final Field<Long> POLL_INTERVAL_MILLIS =
      Field.integer("poll_ms", 100, 60_000).withDefault(2_000L);

  /** Memory for retained stage outputs, in bytes. */
  public static final Field<Long> KEPT_OUTPUT_BYTES =
      Field.integer("kept_output_bytes", 0, 1L << 40).withDefault(32L * 1024 * 1024);

  /** Base address of the model engine or plain service. */
  public static final Field<URI> ADDRESS = uri("address");

  /** Whether the engine checks fencing numbers. */
  public static final Field<FencingCheck> FENCING =
      Field.choice(
              "fencing",
              FencingCheck.values(),
              value -> value.name().toLowerCase(Locale.ROOT).replace('_', '-'))
          .withDefault(FencingCheck.AGENT_ONLY);

  /** Name of the plain service. */
  public static final Field<ServiceName> SERVICE =
      Field.parsed("name", EXPECTED_ID, ServiceName::new);

  /** Limit of concurrent calls to the plain service. */
  public static final Field<Long> MAX_CONCURRENT =
      Field.integer("max_concurrent", 1, 100_000).withDefault(16L);

  /** PEM file of the certificate chain of the process. */
  public static final Field<Path> CERTIFICATE_CHAIN = path("certificate_chain");

  /** PEM file of the private key of the process. */
  public static final Field<Path> PRIVATE_KEY = path("private_key");

  /** PEM file of the certificates that sign peers. */
  public static final Field<Path> TRUSTED_CERTIFICATES = path("trusted_certificates");

  private static final TableSpec TLS =
      new TableSpec(
          "tls",
          TableSpec.Shape.SINGLE,
          Vector.of(CERTIFICATE_CHAIN, PRIVATE_KEY, TRUSTED_CERTIFICATES));

  /** Schema of the settings file of an entry. */
  public static final Schema ENTRY =
      new Schema(
          Vector.of(
              new TableSpec(
                  "",
                  TableSpec.Shape.ROOT,
                  Vector.of(
                      VM,
                      DATA_CENTRE,
                      CALLERS,
                      ADMIN,
                      PEERS,
                      PLATFORM,
                      MAX_BODY_BYTES,
                      DRAIN_GRACE_MILLIS,
                      GRACE_SECONDS,
                      POLL_INTERVAL_MILLIS)),
              TLS));

  /** Address of the platform's store, without a scheme. */
  public static final Field<NodeAddress> STORE = address("store", 9000);

  /** Whether the whole system, not only this process, starts for the first time. */
  public static final Field<FirstStart> FIRST_START =
      Field.choice(
              "first_start", FirstStart.values(), value -> value.name().toLowerCase(Locale.ROOT))
          .withDefault(FirstStart.FALSE);

  /** Time in seconds from the termination request until a relay is killed. */
  public static final Field<Double> RELAY_GRACE_SECONDS = GRACE_SECONDS.withDefault(30.0);

  /** Name of the table of the decisions on scarce capacity. */
  public static final String SCHEDULING = "scheduling";

  /** Whether relays tell each other what they have in flight. */
  public static final Field<Mode> LOAD_SHARING = mode("load_sharing");

  /** Whether requests are refused by a forecast of their wait. */
  public static final Field<Mode> WAIT_FORECAST = mode("wait_forecast");

  /** Whether waiting requests are ordered by urgency and by client account. */
  public static final Field<Mode> URGENCY_ORDER = mode("urgency_order");

  /** Whether streams are admitted by the pace that they leave to others. */
  public static final Field<Mode> PACE_LIMIT = mode("pace_limit");

  /** Whether the share of requests that leave the data centre is decided by room and cost. */
  public static final Field<Mode> OVERFLOW = mode("overflow");

  /** Whether a relay that lacks processor time refuses new requests. */
  public static final Field<Mode> PROCESSOR_GUARD = mode("processor_guard");

  /** Delay in milliseconds that a gigabyte sent to another data centre is worth. */
  public static final Field<Double> OVERFLOW_COST =
      Field.number("overflow_cost_ms_per_gb", 0, 1_000_000).withDefault(0.0);

  private static Field<Mode> mode(String name) {
    return Field.choice(name, Mode.values(), value -> value.name().toLowerCase(Locale.ROOT))
        .withDefault(Mode.AUTO);
  }

  /** Schema of the settings file of a relay. */
  public static final Schema RELAY =
      new Schema(
          Vector.of(
              new TableSpec(
                  "",
                  TableSpec.Shape.ROOT,
                  Vector.of(
                      VM,
                      DATA_CENTRE,
                      CALLERS,
                      ADMIN,
                      STORE,
                      RELAY_PEERS,
                      FIRST_START,
                      RELAY_GRACE_SECONDS)),
              new TableSpec(
                  SCHEDULING,
                  TableSpec.Shape.SINGLE,
                  Vector.of(
                      LOAD_SHARING,
                      WAIT_FORECAST,
                      URGENCY_ORDER,
                      PACE_LIMIT,
                      OVERFLOW,
                      PROCESSOR_GUARD,
                      OVERFLOW_COST))));

  /** Schema of the settings file of an agent. */
  public static final Schema AGENT =
      new Schema(
          Vector.of(
              new TableSpec(
                  "",
                  TableSpec.Shape.ROOT,
                  Vector.of(
                      ENDPOINT,
                      DATA_CENTRE,
                      POOL,
                      PEERS,
                      PLATFORM,
                      KEPT_OUTPUT_BYTES,
                      GRACE_SECONDS)),
              new TableSpec("engine", TableSpec.Shape.SINGLE, Vector.of(ADDRESS, FENCING)),
              new TableSpec(
                  "service", TableSpec.Shape.SINGLE, Vector.of(ADDRESS, SERVICE, MAX_CONCURRENT)),
              TLS));

  private SettingsSchema() {}

  private static Field<NodeAddress> address(String name, int port) {
    return requiredAddress(name).withDefault(new NodeAddress("127.0.0.1", port));
  }

  private static Field<NodeAddress> requiredAddress(String name) {
    return Field.parsed(
        name,
        "an IP address and a port from 1 to 65535, as in \"127.0.0.1:8080\"",
        SettingsSchema::parseAddress);
  }

  private static NodeAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    // Host names are rejected because resolving them would need name lookups at run time; processes
    // address each other by IP address.
    boolean ipv4 =
        host.matches("(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}");
    boolean ipv6 = host.matches("\\[[0-9A-Fa-f:.]{2,45}\\]");
    if (!(ipv4 || ipv6) || !port.matches("\\d{1,5}")) {
      throw new IllegalArgumentException("expected an IP address and a port, found " + text);
    }
    return new NodeAddress(
        ipv6 ? host.substring(1, host.length() - 1) : host, Integer.parseInt(port));
  }

  private static Field<URI> uri(String name) {
    return Field.parsed(
        name,
        "an HTTP or HTTPS URL, as in \"http://127.0.0.1:9000\"",
        text -> {
          URI uri = URI.create(text);
          boolean valid =
              ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
                  && uri.getHost() != null
                  && uri.getQuery() == null
                  && uri.getFragment() == null;
          if (!valid) {
            throw new IllegalArgumentException("expected an HTTP or HTTPS URL, found " + text);
          }
          return uri;
        });
  }

  private static Field<Path> path(String name) {
    return Field.parsed(
        name,
        "the path of a PEM file",
        text -> {
          if (text.isBlank()) {
            throw new IllegalArgumentException("expected a file path, found a blank string");
          }
          return Path.of(text);
        });
  }
}
