package io.zinniawood.dist;

import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that send the same bytes on many connections and read no answers. */
public final class CallerCrowd implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final List<Socket> connections = new ArrayList<>();
  private final AtomicInteger sending = new AtomicInteger();

  /**
   * What each caller sends.
   *
   * @param opening first bytes
   * @param repeated bytes that follow the first ones
   * @param repetitions how many times they follow
   * @param pauseMillis pause after each repetition, in milliseconds
   */
  public record Bytes(String opening, String repeated, int repetitions, long pauseMillis) {}

  /** Opens the connections and sends on each of them until it is closed. */
  public void send(NodeAddress address, int callers, Bytes bytes) {
    byte[] opening = bytes.opening().getBytes(StandardCharsets.ISO_8859_1);
    byte[] repeated = bytes.repeated().getBytes(StandardCharsets.ISO_8859_1);
    for (int count = 0; count < callers; count++) {
      Socket connection = new Socket();
      try {
        // Answers that are not read stay in the relay and not in the buffers of the system.
        connection.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        connection.connect(new InetSocketAddress(address.host(), address.port()));
      } catch (IOException refused) {
        // Not accepted, or the process has ended; the test checks whether it lives.
        continue;
      }
      connections.add(connection);
      sending.incrementAndGet();
      Thread sender =
          new Thread(
              () -> {
                try {
                  OutputStream output = connection.getOutputStream();
                  output.write(opening);
                  for (int number = 0; number < bytes.repetitions(); number++) {
                    output.write(repeated);
                    TimeUnit.MILLISECONDS.sleep(bytes.pauseMillis());
                  }
                } catch (IOException | InterruptedException closed) {
                  // The relay closed the connection, or the test has ended.
                } finally {
                  sending.decrementAndGet();
                }
              });
      sender.setDaemon(true);
      sender.start();
    }
  }

  /** Returns whether a caller has bytes left to send. */
  boolean sending() {
    return sending.get() > 0;
  }

  @Override
  public void close() throws IOException {
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
