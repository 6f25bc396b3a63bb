package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the relays and the replica stand-ins as processes of their own, and ends them all. */
final class Processes implements AutoCloseable {
  static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

  private static final Random RANDOM = new Random();
  private static final Set<Integer> PORTS = new HashSet<>();

  private final List<Process> started = new ArrayList<>();
  private final Path folder;

  Processes(Path folder) {
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Returns a free port below the range of outgoing connections, which was not returned before. */
  static synchronized int freePort() {
    while (true) {
      int port = 20_000 + RANDOM.nextInt(12_000);
      if (PORTS.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          return socket.getLocalPort();
        } catch (IOException taken) {
          // The next one may be free.
        }
      }
    }
  }

  /** A relay with its ports on 127.0.0.1. */
  record Relay(String name, Process process, int callers, int admin) {
    boolean ready() {
      try (Socket socket = new Socket("127.0.0.1", admin)) {
        socket.setSoTimeout(1_000);
        socket
            .getOutputStream()
            .write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        byte[] head = socket.getInputStream().readNBytes(12);
        return new String(head, StandardCharsets.US_ASCII).endsWith(" 200");
      } catch (IOException notReady) {
        return false;
      }
    }

    void awaitReady() throws InterruptedException {
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
      while (!ready()) {
        if (System.nanoTime() - endNanos > 0) {
          throw new CannotRun("relay " + name + " is not ready after 30 s");
        }
        Thread.sleep(50);
      }
    }
  }

  /** Starts a relay with the run line of the deploy file and settings as in its template. */
  Relay relay(String name, int storePort, int callersPort, boolean withPeers) throws Exception {
    Matcher run =
        Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new CannotRun("deploy/system.toml has no run line");
    }
    int admin = freePort();
    Path settings = folder.resolve(name + ".toml");
    Files.writeString(
        settings,
        "vm = \"%s\"\ndata_centre = \"zone-1\"\ncallers = \"127.0.0.1:%d\"\nadmin = \"127.0.0.1:%d\"\n"
                .formatted(name, callersPort, admin)
            + "store = \"127.0.0.1:%d\"\nfirst_start = \"true\"\ngrace_s = 8\n".formatted(storePort)
            + (withPeers ? "peers = \"127.0.0.1:%d\"\n".formatted(freePort()) : ""));
    List<String> command =
        new ArrayList<>(
            Arrays.asList(
                run.group(1).replace("/etc/zinniawood/boot.yaml", settings.toString()).split(" ")));
    command.set(0, JAVA);
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile())
            .start();
    started.add(process);
    return new Relay(name, process, callersPort, admin);
  }

  /** A replica stand-in; each line that it prints goes to the receiver. */
  Process replica(Consumer<String> lines, String... arguments) throws IOException {
    return start(lines, "review.Replica", arguments);
  }

  /** A stand-in with the given main class; each line that it prints goes to the receiver. */
  Process start(Consumer<String> lines, String mainClass, String... arguments) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                JAVA,
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
    command.addAll(Arrays.asList(arguments));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    started.add(process);
    Thread reader =
        new Thread(
            () -> {
              try (BufferedReader output =
                  new BufferedReader(new InputStreamReader(process.getInputStream()))) {
                String line;
                while ((line = output.readLine()) != null) {
                  lines.accept(line);
                }
              } catch (IOException ended) {
                // The process ended.
              }
            });
    reader.setDaemon(true);
    reader.start();
    return process;
  }

  /** Writes a line to the standard input of a replica, which obeys it. */
  static void tell(Process replica, String command) throws IOException {
    OutputStream input = replica.getOutputStream();
    input.write((command + "\n").getBytes(StandardCharsets.UTF_8));
    input.flush();
  }

  @Override
  public void close() {
    started.forEach(Process::destroyForcibly);
  }

  /** The case could not run. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRun(String reason) {
      super(reason);
    }
  }
}
