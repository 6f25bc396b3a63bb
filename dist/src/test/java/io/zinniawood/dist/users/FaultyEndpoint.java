package io.zinniawood.dist.users;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Endpoint in a process of its own whose answers have faults that a seed selects. It reads commands
 * from its standard input, {@code on FAULT} and {@code off FAULT}, and ends when that is closed.
 */
public final class FaultyEndpoint {
  private final FaultyEndpointRow row;
  private final AnswerLedger ledger;
  private final Set<EndpointFault> faults = ConcurrentHashMap.newKeySet();
  private final AtomicLong signatures = new AtomicLong();
  private final Random seeds;

  private FaultyEndpoint(FaultyEndpointRow row, AnswerLedger ledger, Random seeds) {
    this.row = row;
    this.ledger = ledger;
    this.seeds = seeds;
  }

  /** Arguments: store port, endpoint id, service, own port, ledger file, seed. */
  public static void main(String[] args) throws IOException {
    FaultyEndpointRow row =
        new FaultyEndpointRow(
            Integer.parseInt(args[0]), args[1], args[2], Integer.parseInt(args[3]));
    AnswerLedger ledger = AnswerLedger.append(Path.of(args[4]));
    FaultyEndpoint endpoint = new FaultyEndpoint(row, ledger, new Random(Long.parseLong(args[5])));
    ServerSocket listener = new ServerSocket(row.port(), 200, InetAddress.getLoopbackAddress());
    start(() -> endpoint.accept(listener));
    start(row::writeRepeatedly);
    endpoint.readCommands();
    System.exit(0);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void readCommands() throws IOException {
    BufferedReader commands =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = commands.readLine(); line != null; line = commands.readLine()) {
      String[] words = line.split(" ");
      EndpointFault fault = EndpointFault.valueOf(words[1]);
      if (words[0].equals("on")) {
        faults.add(fault);
      } else {
        faults.remove(fault);
      }
    }
  }

  private void accept(ServerSocket listener) {
    try {
      while (true) {
        Socket socket = listener.accept();
        Random random = new Random(seeds.nextLong());
        start(() -> serve(socket, random));
      }
    } catch (IOException failure) {
      throw new UncheckedIOException("cannot accept connections", failure);
    }
  }

  private void serve(Socket socket, Random random) {
    try (socket) {
      socket.setTcpNoDelay(true);
      FaultyConnection connection =
          new FaultyConnection(socket, row, ledger, faults, random, this::nextSignature);
      while (connection.serveRequest()) {
        // Each call serves one request of the connection.
      }
    } catch (IOException closed) {
      // The relay has closed the connection.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private String nextSignature() {
    return AnswerLedger.SIGNATURE_PREFIX
        + row.id()
        + "-"
        + row.bornMillis()
        + "-"
        + signatures.incrementAndGet();
  }
}
