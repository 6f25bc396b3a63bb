package review2;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A relay as a separate process, started with the run line of the deploy file. */
final class Relay implements AutoCloseable {
  final String vm;
  final String callers;
  final String admin;
  private final Path folder;
  private final String settings;
  private Process process;
  private int starts;

  Relay(Path folder, String vm, String zone, String store, boolean firstStart)
      throws IOException {
    this.folder = folder;
    this.vm = vm;
    this.callers = "127.0.0.1:" + freePort();
    this.admin = "127.0.0.1:" + freePort();
    this.settings =
        """
        vm = "%s"
        data_centre = "%s"
        callers = "%s"
        admin = "%s"
        store = "%s"
        first_start = "%s"
        grace_s = 8
        peers = "127.0.0.1:%d"
        """
            .formatted(vm, zone, callers, admin, store, firstStart, freeDatagramPort());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private static int freeDatagramPort() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  void start() throws IOException {
    Path file = folder.resolve(vm + ".toml");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>();
    String run = "";
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    for (String word : run.split(" ")) {
      command.add(word.equals("/etc/zinniawood/boot.yaml") ? file.toString() : word);
    }
    process =
        new ProcessBuilder(command)
            .redirectOutput(folder.resolve(vm + "." + ++starts + ".log").toFile())
            .redirectError(folder.resolve(vm + "." + starts + ".err").toFile())
            .start();
  }

  void awaitReady() throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() - endNanos < 0) {
      try {
        Http.Message answer = Http.call(admin, "GET", "/readiness", "", 1_000, "Host: a");
        if (answer != null && answer.status() == 200) {
          return;
        }
      } catch (IOException notListening) {
        // It is still starting.
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException(vm + " is not ready after 30 s");
  }

  void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() throws Exception {
    end();
    if (process != null) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }
}
