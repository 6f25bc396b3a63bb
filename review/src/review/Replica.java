package review;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a replica of a plain service. It checks in every 1.2 s, answers 421 to requests that
 * name another replica, and answers all others with a signed body. Arguments: id, service, port of
 * the store, mode, milliseconds of service after leaving. Modes: {@code plain} reads the request and
 * answers with a length; {@code early} answers without a length before it has read the body, and
 * reads on after half of its answer.
 *
 * <p>On the line {@code leave} it removes its entry, as a replica that leaves without reporting
 * {@code draining} does, goes on serving for the given time and exits. On {@code drain} it reports
 * {@code draining} first; on {@code exit} it removes its entry and exits at once.
 */
final class Replica {
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** Work of a request. */
  private static final long WORK_MILLIS = 80;

  /** Length of an answer, twice the part that is sent before a long body is read. */
  static final int ANSWER_BYTES = 2_000;

  private final String id;
  private final String service;
  private final int storePort;
  private final String mode;
  private final long servedAfterLeavingMillis;
  private final long born = System.currentTimeMillis();
  private final ServerSocket listener = new ServerSocket();
  private volatile String state = "ready";
  private int sequence;

  private Replica(String[] arguments) throws IOException {
    id = arguments[0];
    service = arguments[1];
    storePort = Integer.parseInt(arguments[2]);
    mode = arguments[3];
    servedAfterLeavingMillis = Long.parseLong(arguments[4]);
    listener.setReceiveBufferSize(32 * 1024);
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
  }

  public static void main(String[] arguments) throws Exception {
    Replica replica = new Replica(arguments);
    Thread accepting = new Thread(replica::accept);
    accepting.setDaemon(true);
    accepting.start();
    Thread heartbeats = new Thread(replica::checkIn);
    heartbeats.setDaemon(true);
    heartbeats.start();
    BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
    String command;
    while ((command = commands.readLine()) != null) {
      if (command.equals("drain")) {
        replica.writeState("draining");
        print(replica.id + " drains");
      } else if (command.equals("leave")) {
        replica.leave(replica.servedAfterLeavingMillis);
      } else if (command.equals("exit")) {
        replica.leave(0);
      }
    }
  }

  private static void print(String text) {
    synchronized (System.out) {
      System.out.println(System.nanoTime() + " " + text);
      System.out.flush();
    }
  }

  private void checkIn() {
    try {
      while (true) {
        try {
          writeState(state);
        } catch (IOException lost) {
          print(id + " gets no answer to a check-in");
        }
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void writeState(String newState) throws IOException {
    if (state.equals("gone")) {
      return;
    }
    state = newState;
    call(
        "/internal-put?table=servers&key=" + id,
        ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-1\",\"version\":\"v1\","
                + "\"slots\":64,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":%d,\"born\":%d}")
            .formatted(service, listener.getLocalPort(), state, ++sequence, born));
  }

  private synchronized void leave(long servedMillis) throws IOException {
    state = "gone";
    call("/internal-remove?table=servers&key=" + id, "{}");
    print(id + " left");
    Thread exit =
        new Thread(
            () -> {
              try {
                Thread.sleep(servedMillis);
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
              }
              print(id + " exits");
              Runtime.getRuntime().halt(0);
            });
    exit.start();
  }

  private void call(String path, String body) throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection)
            URI.create("http://127.0.0.1:" + storePort + path).toURL().openConnection();
    connection.setDoOutput(true);
    connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    if (connection.getResponseCode() != 200) {
      throw new IOException("the store answers " + connection.getResponseCode());
    }
    connection.getInputStream().readAllBytes();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Thread thread = new Thread(() -> serve(socket));
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException ended) {
      print(id + " stops accepting: " + ended);
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = socket.getOutputStream();
      String requestLine;
      while (!(requestLine = Http.readLine(input)).isEmpty()) {
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while (!(line = Http.readLine(input)).isEmpty()) {
          int colon = line.indexOf(':');
          headers.put(
              line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String request = headers.getOrDefault("attempt-id", "-");
        if (!id.equals(headers.getOrDefault("expect-replica", id))) {
          input.readNBytes(length);
          output.write(
              ("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + request
                      + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
          continue;
        }
        if (mode.equals("early") && length > 0) {
          answerEarly(request, length, input, output);
          return;
        }
        input.readNBytes(length);
        print("run " + request + " by " + id);
        work();
        output.write(
            ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n"
                    .formatted(request, id, request, ANSWER_BYTES))
                .getBytes(StandardCharsets.US_ASCII));
        output.write(Http.bodyOf(request, ANSWER_BYTES));
      }
    } catch (IOException ended) {
      // The caller closed the channel.
    }
  }

  private static void work() {
    try {
      TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Answers without a length; the answer ends with the channel. */
  private void answerEarly(String request, int length, InputStream input, OutputStream output)
      throws IOException {
    print("run " + request + " by " + id);
    byte[] body = Http.bodyOf(request, ANSWER_BYTES);
    output.write(
        ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Signature: %s.%s\r\nConnection: close\r\n\r\n"
                .formatted(request, id, request))
            .getBytes(StandardCharsets.US_ASCII));
    output.write(body, 0, ANSWER_BYTES / 2);
    output.flush();
    print("half " + request + " by " + id);
    try {
      TimeUnit.MILLISECONDS.sleep(1_000);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    input.readNBytes(length);
    output.write(body, ANSWER_BYTES / 2, ANSWER_BYTES / 2);
    output.flush();
    print("whole " + request + " by " + id);
  }
}
