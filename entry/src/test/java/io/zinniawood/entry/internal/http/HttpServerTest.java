package io.zinniawood.entry.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.zinniawood.core.model.NodeAddress;
import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// Only ends a test that hangs; no assertion depends on this timeout.
@Timeout(60)
class HttpServerTest {
  private static final String REQUEST = "GET /hello HTTP/1.1\r\nHost: a\r\n\r\n";
  private static final long LONG_TIMEOUT_MILLIS = 600_000;

  /** Longer than scheduling pauses of a busy machine, which would otherwise close connections. */
  private static final long SHORT_TIMEOUT_MILLIS = 1_000;

  private static NodeAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new NodeAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static HttpServer start(NodeAddress address, int maxConnections, long maxRequestMillis) {
    return HttpServer.start(
        address,
        new HttpServer.Limits(65_536, maxConnections, maxRequestMillis),
        1,
        TestConnections.setup(65_536),
        application -> {
          application.get("/hello", context -> context.send("hello"));
          application.post("/hello", context -> context.send("hello"));
        });
  }

  private static Socket connect(NodeAddress address) throws IOException {
    return new Socket(address.host(), address.port());
  }

  /** Sends a request; returns the start of the response, empty if the connection is closed. */
  private static String requestStatus(Socket socket) {
    try {
      socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      return new String(start, StandardCharsets.US_ASCII);
    } catch (IOException closed) {
      return "";
    }
  }

  /** Sends single bytes until the connection is closed; returns the number of bytes sent. */
  private static int sendSlowly(Socket socket, String head) throws IOException {
    socket.setSoTimeout(20);
    int sent = 0;
    while (true) {
      try {
        socket.getOutputStream().write(sent < head.length() ? head.charAt(sent) : 'x');
        sent++;
        if (socket.getInputStream().read() < 0) {
          return sent;
        }
      } catch (java.net.SocketTimeoutException open) {
        continue;
      } catch (IOException closed) {
        return sent;
      }
    }
  }

  // Guards against a caller that holds a connection indefinitely by sending single bytes, each
  // before a timeout between bytes would expire.
  @Test
  void slowSendersAreClosed() throws IOException {
    NodeAddress address = freeAddress();
    try (HttpServer server = start(address, 10, SHORT_TIMEOUT_MILLIS);
        Socket slowHead = connect(address);
        Socket silent = connect(address)) {
      assertThat(sendSlowly(slowHead, "GET /hello HTTP/1.1\r\nX-Long: "), greaterThan(1));
      try (Socket slowBody = connect(address)) {
        slowBody
            .getOutputStream()
            .write(
                "POST /hello HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        assertThat(sendSlowly(slowBody, ""), greaterThan(1));
      }
      assertThat(silent.getInputStream().read(), equalTo(-1));
      try (Socket next = connect(address)) {
        assertThat(requestStatus(next), equalTo("HTTP/1.1 200"));
      }
    }
  }

  // Guards against a connection that the timeout of its first request closes during a later one.
  @Test
  void timeoutRestartsWithEachRequest() throws IOException {
    NodeAddress address = freeAddress();
    try (HttpServer server = start(address, 10, SHORT_TIMEOUT_MILLIS);
        Socket socket = connect(address)) {
      long startNanos = System.nanoTime();
      while (System.nanoTime() - startNanos < 3 * SHORT_TIMEOUT_MILLIS * 1_000_000) {
        assertThat(requestStatus(socket), equalTo("HTTP/1.1 200"));
        StringBuilder rest = new StringBuilder();
        while (rest.indexOf("hello") < 0) {
          int next = socket.getInputStream().read();
          assertThat(next, greaterThan(-1));
          rest.append((char) next);
        }
      }
      assertThat(sendSlowly(socket, REQUEST.substring(0, 5)), greaterThan(1));
    }
  }

  // Guards against an unlimited number of connections, and against closed connections that still
  // count towards the limit.
  @Test
  void connectionsAboveTheLimitAreClosed() throws IOException {
    NodeAddress address = freeAddress();
    int maxConnections = 3;
    List<Socket> open = new ArrayList<>();
    try (HttpServer server = start(address, maxConnections, LONG_TIMEOUT_MILLIS)) {
      for (int index = 0; index < maxConnections; index++) {
        Socket socket = connect(address);
        open.add(socket);
        assertThat(requestStatus(socket), equalTo("HTTP/1.1 200"));
      }
      try (Socket refused = connect(address)) {
        assertThat(requestStatus(refused), equalTo(""));
      }
      open.remove(0).close();
      String answer = "";
      while (answer.isEmpty()) {
        try (Socket next = connect(address)) {
          answer = requestStatus(next);
        }
      }
      assertThat(answer, startsWith("HTTP/1.1 200"));
    } finally {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  // Guards against a port that still accepts connections after the server is closed, but then
  // never responds.
  @Test
  void closedServerRefusesConnections() throws IOException {
    for (int round = 0; round < 20; round++) {
      NodeAddress address = freeAddress();
      HttpServer server = start(address, 10, LONG_TIMEOUT_MILLIS);
      try (Socket socket = connect(address)) {
        assertThat(requestStatus(socket), equalTo("HTTP/1.1 200"));
        server.close();
        assertThrows(ConnectException.class, () -> connect(address));
      }
      server.close();
    }
  }
}
