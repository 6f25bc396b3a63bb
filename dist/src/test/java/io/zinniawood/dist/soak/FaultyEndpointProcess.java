package io.zinniawood.dist.soak;

import io.zinniawood.cli.local.Ports;
import io.zinniawood.dist.ChildProcesses;
import io.zinniawood.dist.users.AnswerLedger;
import io.zinniawood.dist.users.EndpointFault;
import io.zinniawood.dist.users.FaultyEndpoint;
import io.zinniawood.dist.users.StoreStandIn;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Process of a {@link FaultyEndpoint} that can be killed and started again at its address. */
final class FaultyEndpointProcess implements AutoCloseable {
  private static final Path EXECUTABLE = Path.of(System.getProperty("zinniawood.binary"));
  private static final Path LOG_FOLDER = EXECUTABLE.resolveSibling("it-logs");

  private final StoreStandIn store;
  private final String name;
  private final String service;
  private final long seed;
  private final int port = Ports.free().port();
  private final Path ledgerFile;
  private final Map<EndpointFault, Integer> faults = new EnumMap<>(EndpointFault.class);
  private String id;
  private int starts;
  private Process process;

  FaultyEndpointProcess(StoreStandIn store, String name, String service, long seed)
      throws IOException {
    this.store = store;
    this.name = name;
    this.service = service;
    this.seed = seed;
    id = name;
    Files.createDirectories(LOG_FOLDER);
    ledgerFile = LOG_FOLDER.resolve("soak-" + name + ".ledger");
    Files.deleteIfExists(ledgerFile);
    startIfEnded();
  }

  /** Starts the process unless it runs. */
  synchronized void startIfEnded() {
    if (process != null && process.isAlive()) {
      return;
    }
    starts++;
    try {
      process =
          ChildProcesses.start(
              new ProcessBuilder(
                      Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                      "-Xmx48m",
                      "-XX:+UseSerialGC",
                      "-XX:-UsePerfData",
                      "-cp",
                      testClasses() + ":" + EXECUTABLE.resolveSibling("zinniawood.jar"),
                      FaultyEndpoint.class.getName(),
                      Integer.toString(store.address().port()),
                      id,
                      service,
                      Integer.toString(port),
                      ledgerFile.toString(),
                      Long.toString(seed + starts))
                  .redirectErrorStream(true)
                  .redirectOutput(
                      LOG_FOLDER.resolve("soak-%s.%d.log".formatted(name, starts)).toFile()));
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot start endpoint " + name, failure);
    }
    faults.forEach(
        (fault, uses) -> {
          if (uses > 0) {
            send(fault, true);
          }
        });
  }

  private static Path testClasses() {
    try {
      return Path.of(
          FaultyEndpoint.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException malformed) {
      throw new IllegalStateException("the folder of the test classes is unknown", malformed);
    }
  }

  /** Switches a fault on or off once; it is off when each start of it has ended. */
  synchronized void setFault(EndpointFault fault, boolean on) {
    int uses = faults.merge(fault, on ? 1 : -1, Integer::sum);
    if (on ? uses == 1 : uses == 0) {
      send(fault, on);
    }
  }

  private void send(EndpointFault fault, boolean on) {
    String command = (on ? "on " : "off ") + fault + "\n";
    try {
      process.getOutputStream().write(command.getBytes(StandardCharsets.UTF_8));
      process.getOutputStream().flush();
    } catch (IOException killed) {
      // The next process gets all faults that are on at its start.
    }
  }

  /** Kills the process with SIGKILL and returns its id, which the next one has too. */
  synchronized String kill() {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    return id;
  }

  /** Kills the process with SIGKILL and returns its id; the next one has a new id. */
  synchronized String killAndRename() {
    String old = kill();
    id = name + "-" + starts;
    return old;
  }

  /** Returns the lines of the ledger, each split into its words. */
  List<String[]> ledger() {
    return AnswerLedger.read(ledgerFile);
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
