package io.zinniawood.standin.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultProxyTest {
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final BlockingQueue<String> targetEvents = new LinkedBlockingQueue<>();
  private ServerSocket target;
  private FaultProxy proxy;

  @BeforeEach
  void start() throws IOException {
    target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::acceptAll);
    proxy = FaultProxy.launch(target.getLocalPort());
  }

  @AfterEach
  void stop() throws IOException {
    proxy.close();
    target.close();
    threads.shutdownNow();
  }

  private void acceptAll() {
    while (!target.isClosed()) {
      try {
        Socket socket = target.accept();
        threads.execute(() -> echo(socket));
      } catch (IOException e) {
        targetEvents.add("listener closed");
      }
    }
  }

  /** Sends each byte back plus one, and records the bytes and the end of the connection. */
  private void echo(Socket socket) {
    try (socket) {
      for (int value = socket.getInputStream().read();
          value >= 0;
          value = socket.getInputStream().read()) {
        targetEvents.add("byte " + value);
        socket.getOutputStream().write(value + 1);
      }
      targetEvents.add("end");
    } catch (IOException e) {
      targetEvents.add("reset");
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private Socket connectAndExchange() throws IOException {
    Socket socket = connect();
    assertThat(exchange(socket, 1), is(2));
    targetEvents.clear();
    return socket;
  }

  private static int exchange(Socket socket, int value) throws IOException {
    socket.getOutputStream().write(value);
    return socket.getInputStream().read();
  }

  private String targetEvent() throws InterruptedException {
    return String.valueOf(targetEvents.poll(10, TimeUnit.SECONDS));
  }

  private static void assertReceivesNothing(Socket socket) throws IOException {
    socket.setSoTimeout(200);
    assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
  }

  // Guards against a proxy that loses or reorders bytes by itself, which invalidates the tests
  // that use it.
  @Test
  void forwardsBytesAndCloseWithAndWithoutDelay() throws Exception {
    try (Socket socket = connectAndExchange()) {
      proxy.setDelayMillis(Direction.TO_TARGET, 40);
      proxy.setDelayMillis(Direction.TO_CLIENT, 40);
      long startNanos = System.nanoTime();
      assertThat(exchange(socket, 5), is(6));
      assertThat(System.nanoTime() - startNanos, greaterThanOrEqualTo(80_000_000L));
      socket.getOutputStream().write(new byte[] {7, 8});
      proxy.setDelayMillis(Direction.TO_TARGET, 0);
      socket.getOutputStream().write(9);
      // Closing a socket with unread bytes would reset the connection and drop bytes.
      assertThat(socket.getInputStream().readNBytes(3), is(new byte[] {8, 9, 10}));
    }
    for (String expected : new String[] {"byte 5", "byte 7", "byte 8", "byte 9", "end"}) {
      assertThat(targetEvent(), is(expected));
    }
  }

  // Guards against a reset that appears as an orderly close to one of the ends.
  @Test
  void resetReachesBothSidesAndNewConnectionsWork() throws Exception {
    try (Socket socket = connectAndExchange()) {
      proxy.resetConnections();
      assertThrows(IOException.class, () -> readToEnd(socket));
      assertThat(targetEvent(), is("reset"));
    }
    connectAndExchange().close();
  }

  private static void readToEnd(Socket socket) throws IOException {
    if (socket.getInputStream().read() < 0) {
      throw new AssertionError("the connection was closed in order, but a reset was expected");
    }
  }

  // Guards against a one-way fault that stops both directions. Tests could then not detect
  // a health probe that one working direction satisfies.
  @Test
  void stoppingOneDirectionLeavesTheOther() throws Exception {
    try (Socket socket = connectAndExchange()) {
      proxy.stopForwarding(Direction.TO_CLIENT);
      socket.getOutputStream().write(5);
      assertThat(targetEvent(), is("byte 5"));
      assertReceivesNothing(socket);
    }
  }

  // Guards against a stopped connection that is closed later, which would hide code that detects a
  // stalled connection only by its close.
  @Test
  void stoppedConnectionsStayOpenAndNewConnectionsWork() throws Exception {
    try (Socket stopped = connectAndExchange()) {
      proxy.stopForwardingInBothDirections();
      stopped.getOutputStream().write(5);
      assertReceivesNothing(stopped);
      connectAndExchange().close();
      assertThat(targetEvent(), is("end"));
      assertReceivesNothing(stopped);
      assertThat(targetEvents.isEmpty(), is(true));
      assertThat(proxy.openClientConnections(), greaterThanOrEqualTo(1));
    }
  }

  // Guards against a half-open fault that closes both sides, so that no connection is left
  // that only one end considers open.
  @Test
  void halfOpenClosesOneSideOnly() throws Exception {
    try (Socket socket = connectAndExchange()) {
      proxy.halfOpenAtClient();
      assertThat(targetEvent(), is("reset"));
      socket.getOutputStream().write(5);
      assertReceivesNothing(socket);
    }
    try (Socket socket = connectAndExchange()) {
      proxy.halfOpenAtTarget();
      assertThrows(IOException.class, () -> readToEnd(socket));
      assertThat(targetEvents.poll(200, TimeUnit.MILLISECONDS) == null, is(true));
    }
  }

  // Guards against a reset that leaves the client waiting, and against a policy for new connections
  // that affects existing ones.
  @Test
  void newConnectionsCanBeResetOrHang() throws Exception {
    try (Socket existing = connectAndExchange()) {
      proxy.setNewConnectionPolicy(NewConnectionPolicy.RESET);
      assertThrows(IOException.class, () -> exchange(connect(), 1));
      proxy.setNewConnectionPolicy(NewConnectionPolicy.HANG);
      try (Socket hanging = connect()) {
        hanging.getOutputStream().write(1);
        assertReceivesNothing(hanging);
      }
      assertThat(exchange(existing, 5), is(6));
      assertThat(proxy.acceptedConnections(), is(3L));
    }
  }
}
