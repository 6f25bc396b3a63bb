package io.zinniawood.config.internal;

import io.vavr.collection.Vector;
import io.zinniawood.config.settings.EndpointSettings.FencingCheck;
import io.zinniawood.config.settings.RelaySettings.FirstStart;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.Locale;

/** Tables and keys of the settings files; `docs/configuration.md` describes them. */
public final class SettingsSchema {
  private static final String EXPECTED_ID = "a text of 1 to 256 characters";

  /** Id of the VM of an entry. */
  public static final Field<VmId> VM = Field.parsed("vm", EXPECTED_ID, VmId::new);

  /** Id of an endpoint. */
  public static final Field<EndpointId> ENDPOINT =
      Field.parsed("endpoint", EXPECTED_ID, EndpointId::new);

  /** Data centre. */
  public static final Field<DataCentreId> DATA_CENTRE =
      Field.parsed("data_centre", EXPECTED_ID, DataCentreId::new);

  /** Pool of an endpoint. */
  public static final Field<PoolId> POOL = Field.parsed("pool", EXPECTED_ID, PoolId::new);

  /** Callers' HTTP address. */
  public static final Field<NodeAddress> CALLERS = address("callers", 8080);

  /** Operators' HTTP address. */
  public static final Field<NodeAddress> ADMIN = address("admin", 8081);

  /** Own-protocol address. */
  public static final Field<NodeAddress> PEERS = address("peers", 8090);

  /** Base address of the platform. */
  public static final Field<URI> PLATFORM =
      uri("platform").withDefault(URI.create("http://127.0.0.1:9000"));

  /** Largest request body. */
  public static final Field<Long> MAX_BODY_BYTES =
      Field.integer("max_body_bytes", 1_024, 64 * 1024 * 1024).withDefault(1024L * 1024);

  /** Time for which a draining entry takes requests. */
  public static final Field<Long> DRAIN_GRACE_MILLIS =
      Field.integer("drain_grace_ms", 0, 600_000).withDefault(3_000L);

  /** Interval of reading the folder and the VM list. */
  public static final Field<Long> POLL_INTERVAL_MILLIS =
      Field.integer("poll_ms", 100, 60_000).withDefault(2_000L);

  /** Memory for kept stage outputs. */
  public static final Field<Long> KEPT_OUTPUT_BYTES =
      Field.integer("kept_output_bytes", 0, 1L << 40).withDefault(32L * 1024 * 1024);

  /** Base address of the engine or service. */
  public static final Field<URI> ADDRESS = uri("address");

  /** Whether the engine checks fencing numbers. */
  public static final Field<FencingCheck> FENCING =
      Field.choice(
              "fencing",
              FencingCheck.values(),
              value -> value.name().toLowerCase(Locale.ROOT).replace('_', '-'))
          .withDefault(FencingCheck.AGENT_ONLY);

  /** Name of the service. */
  public static final Field<ServiceName> SERVICE =
      Field.parsed("name", EXPECTED_ID, ServiceName::new);

  /** Most concurrent calls of the service. */
  public static final Field<Long> MAX_CONCURRENT =
      Field.integer("max_concurrent", 1, 100_000).withDefault(16L);

  /** Certificate chain. */
  public static final Field<Path> CERTIFICATE_CHAIN = path("certificate_chain");

  /** Private key. */
  public static final Field<Path> PRIVATE_KEY = path("private_key");

  /** Trusted certificates. */
  public static final Field<Path> TRUSTED_CERTIFICATES = path("trusted_certificates");

  private static final TableSpec TLS =
      new TableSpec(
          "tls",
          TableSpec.Shape.SINGLE,
          Vector.of(CERTIFICATE_CHAIN, PRIVATE_KEY, TRUSTED_CERTIFICATES));

  /** Schema of an entry's settings. */
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
                      POLL_INTERVAL_MILLIS)),
              TLS));

  /** Address of the platform's store, without a scheme. */
  public static final Field<NodeAddress> STORE = address("store", 9000);

  /** Whether the whole system starts for the first time. */
  public static final Field<FirstStart> FIRST_START =
      Field.choice(
              "first_start", FirstStart.values(), value -> value.name().toLowerCase(Locale.ROOT))
          .withDefault(FirstStart.FALSE);

  /** Schema of a relay's settings. */
  public static final Schema RELAY =
      new Schema(
          Vector.of(
              new TableSpec(
                  "",
                  TableSpec.Shape.ROOT,
                  Vector.of(VM, DATA_CENTRE, CALLERS, ADMIN, STORE, FIRST_START))));

  /** Schema of an agent's settings. */
  public static final Schema AGENT =
      new Schema(
          Vector.of(
              new TableSpec(
                  "",
                  TableSpec.Shape.ROOT,
                  Vector.of(ENDPOINT, DATA_CENTRE, POOL, PEERS, PLATFORM, KEPT_OUTPUT_BYTES)),
              new TableSpec("engine", TableSpec.Shape.SINGLE, Vector.of(ADDRESS, FENCING)),
              new TableSpec(
                  "service", TableSpec.Shape.SINGLE, Vector.of(ADDRESS, SERVICE, MAX_CONCURRENT)),
              TLS));

  private SettingsSchema() {}

  private static Field<NodeAddress> address(String name, int port) {
    return Field.parsed(
            name,
            "an IP number and a port from 1 to 65535, as in \"127.0.0.1:8080\"",
            SettingsSchema::parseAddress)
        .withDefault(new NodeAddress("127.0.0.1", port));
  }

  private static NodeAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    // A host name would be resolved at run time; processes know each other by IP number.
    boolean version4 =
        host.matches("(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}");
    boolean version6 = host.matches("\\[[0-9A-Fa-f:.]{2,45}\\]");
    if (!(version4 || version6) || !port.matches("\\d{1,5}")) {
      throw new IllegalArgumentException("not an address");
    }
    return new NodeAddress(
        version6 ? host.substring(1, host.length() - 1) : host, Integer.parseInt(port));
  }

  private static Field<URI> uri(String name) {
    return Field.parsed(
        name,
        "an address as in \"http://127.0.0.1:9000\"",
        text -> {
          URI uri = URI.create(text);
          boolean usable =
              ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
                  && uri.getHost() != null
                  && uri.getQuery() == null
                  && uri.getFragment() == null;
          if (!usable) {
            throw new IllegalArgumentException("not an HTTP address");
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
            throw new IllegalArgumentException("blank path");
          }
          return Path.of(text);
        });
  }
}
