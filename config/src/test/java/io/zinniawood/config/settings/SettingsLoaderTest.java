package io.zinniawood.config.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.ConfigurationFault;
import io.zinniawood.config.TextMutator;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsLoaderTest {
  private static final String AGENT =
      "endpoint = \"e1\"\ndata_centre = \"assen\"\npool = \"chat-0\"\npeers = \"127.0.0.1:8191\"\n";

  @TempDir Path folder;

  // Guards against defaults that differ from docs/configuration.md.
  @Test
  void entryTakesDefaults() throws IOException {
    EntrySettings settings =
        SettingsLoader.loadEntry(write("vm = \"v1\"\ndata_centre = \"tampere\"\n")).get();
    assertThat(
        settings,
        equalTo(
            new EntrySettings(
                new VmId("v1"),
                new DataCentreId("tampere"),
                new NodeAddress("127.0.0.1", 8080),
                new NodeAddress("127.0.0.1", 8081),
                new NodeAddress("127.0.0.1", 8090),
                URI.create("http://127.0.0.1:9000"),
                1024 * 1024,
                3_000,
                120_000,
                2_000,
                Option.none())));
  }

  // A relay without an address for messages must not open a port.
  @Test
  void relayExchangesMessagesOnlyWithAddress() throws IOException {
    String required = "vm = \"v1\"\ndata_centre = \"tampere\"\n";
    assertThat(SettingsLoader.loadRelay(write(required)).get().peers(), equalTo(Optional.empty()));
    assertThat(
        SettingsLoader.loadRelay(write(required + "peers = \"10.1.0.40:7340\"\n")).get().peers(),
        equalTo(Optional.of(new NodeAddress("10.1.0.40", 7_340))));
    assertThat(
        SettingsLoader.loadRelay(write(required + "peers = \"front\"\n"))
            .getLeft()
            .map(Object::toString)
            .asJava(),
        contains(containsString("key=peers, found=\"front\", expected=an IP address and a port")));
  }

  // The platform gives whole or broken seconds; without a value the relay must start all the same.
  @ParameterizedTest
  @CsvSource({"'', 30000", "grace_s = 8, 8000", "grace_s = 7.5, 7500", "grace_s = 0, 0"})
  void relayTakesGracePeriodInSeconds(String line, long expectedMillis) throws IOException {
    String required = "vm = \"v1\"\ndata_centre = \"tampere\"\n";
    assertThat(
        SettingsLoader.loadRelay(write(required + line)).get().gracePeriodMillis(),
        is(expectedMillis));
  }

  // Guards against an agent without an endpoint, or with an ambiguous one.
  @Test
  void agentNeedsExactlyOneEndpointTable() throws IOException {
    String engine = "[engine]\naddress = \"http://127.0.0.1:7001\"\nfencing = \"engine-checks\"\n";
    String service = "[service]\naddress = \"http://127.0.0.1:7002\"\nname = \"credit\"\n";
    EndpointSettings endpointSettings =
        SettingsLoader.loadAgent(write(AGENT + engine)).get().endpointSettings();
    assertThat(
        endpointSettings,
        equalTo(
            new EndpointSettings.Engine(
                URI.create("http://127.0.0.1:7001"), EndpointSettings.FencingCheck.ENGINE_CHECKS)));
    assertThat(SettingsLoader.loadAgent(write(AGENT + service)).isRight(), is(true));
    assertThat(
        agentFaults(AGENT + engine + service),
        contains(
            endsWith("engine: found both [engine] and [service], expected exactly one of them")));
    assertThat(
        agentFaults(AGENT),
        contains(
            endsWith(
                "engine: found neither [engine] nor [service], expected exactly one of them")));
  }

  // Guards against a report of only the first fault, which would force operators to restart the
  // process for each fault.
  @Test
  void allFaultsAreReportedAtOnce() throws IOException {
    Vector<String> faults =
        SettingsLoader.loadEntry(
                write("data_center = \"x\"\npeers = \"localhost:1\"\npoll_ms = 5\nadmin = 1\n"))
            .getLeft()
            .map(fault -> fault.line() + " " + fault.key());
    assertThat(
        faults.sorted(),
        contains("1 data_center", "1 data_centre", "1 vm", "2 peers", "3 poll_ms", "4 admin"));
  }

  // Guards against a stack trace instead of a fault message for a missing file.
  @Test
  void missingFileIsFault() {
    assertThat(SettingsLoader.loadEntry(folder.resolve("none.toml")).isLeft(), is(true));
    assertThat(SettingsLoader.loadEntry(folder).isLeft(), is(true));
  }

  // Guards against an exception for any content of a settings file.
  @Property(tries = 600, seed = "20261204")
  void mutatedSettingsNeverThrow(@ForAll long seed) throws IOException {
    Random random = new Random(seed);
    String tls =
        "[tls]\ncertificate_chain = \"c.pem\"\nprivate_key = \"k\"\ntrusted_certificates = \"t\"\n";
    Path file = Files.createTempFile("settings", ".toml");
    try {
      String text =
          TextMutator.mutate(AGENT + "[engine]\naddress = \"http://[::1]:7001\"\n" + tls, random);
      Files.write(file, text.getBytes(StandardCharsets.UTF_8));
      SettingsLoader.loadAgent(file);
      SettingsLoader.loadEntry(file);
      byte[] randomBytes = new byte[random.nextInt(200)];
      random.nextBytes(randomBytes);
      Files.write(file, randomBytes);
      assertThat(SettingsLoader.loadAgent(file).isLeft(), is(true));
    } finally {
      Files.delete(file);
    }
  }

  private Vector<String> agentFaults(String text) throws IOException {
    return SettingsLoader.loadAgent(write(text)).getLeft().map(ConfigurationFault::text);
  }

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("settings.toml"), text);
  }
}
