package io.zinniawood.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.internal.PlatformDependent;
import io.vavr.control.Either;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.relay.internal.MemoryBudget;
import io.zinniawood.relay.internal.MemoryUser;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays servers whose answers to control calls do not end. */
final class EndlessControlAnswerTest {
  private static final int SERVERS = 40;
  private static final long CALL_TIMEOUT_MILLIS = 20_000;
  private static final int KEPT_BYTES = 1_940_000;
  private static final long DIRECT_MEMORY_BYTES = 64 * 1024 * 1024;
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String SOUND_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final List<Decision> lines = new CopyOnWriteArrayList<>();
  private final MemoryBudget memory =
      new MemoryBudget(DIRECT_MEMORY_BYTES, DIRECT_MEMORY_BYTES, 1_000, lines::add, () -> 0);
  private final ControlClient client =
      new ControlClient(
          loop, memory.account(MemoryUser.CONTROL_ANSWERS), (event, subject, failure) -> {});
  private final List<ServerSocket> servers = new ArrayList<>();

  /** Accepted connections; one that nobody refers to is closed by the garbage collector. */
  private final List<Socket> connections = new CopyOnWriteArrayList<>();

  /** Writes the answer to each call on a connection. */
  private interface Answer {
    void write(Socket connection, OutputStream out) throws IOException;
  }

  @AfterEach
  void stop() throws IOException {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    for (ServerSocket server : servers) {
      server.close();
    }
    for (Socket connection : connections) {
      connection.close();
    }
  }

  private NodeAddress server(Answer answer) throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    servers.add(server);
    startThread(
        () -> {
          while (true) {
            Socket connection = server.accept();
            connections.add(connection);
            startThread(() -> answer.write(connection, connection.getOutputStream()));
          }
        });
    return new NodeAddress("127.0.0.1", server.getLocalPort());
  }

  /** Task that ends when its socket is closed. */
  private interface SocketTask {
    void run() throws IOException;
  }

  private static void startThread(SocketTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException closed) {
                // The client or the test closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private CompletableFuture<Either<ControlFailure, ControlResponse>> call(NodeAddress address) {
    CompletableFuture<Either<ControlFailure, ControlResponse>> result = new CompletableFuture<>();
    loop.execute(
        () ->
            client.call(
                address,
                HttpMethod.GET,
                "/",
                Map.of(),
                new byte[0],
                CALL_TIMEOUT_MILLIS,
                result::complete));
    return result;
  }

  private static void sound(Socket connection, OutputStream out) throws IOException {
    while (connection.getInputStream().read(new byte[1024]) > 0) {
      out.write(ascii(SOUND_ANSWER));
    }
  }

  // Guards against an event loop that waits for memory: every control answer was bounded alone.
  @Test
  void endlessAnswersTogetherStayWithinMemoryAndSoundAnswersAreRead() throws Exception {
    long beforeBytes = PlatformDependent.usedDirectMemory();
    for (int count = 0; count < SERVERS; count++) {
      call(
          server(
              (connection, out) -> {
                out.write(ascii(CHUNKED + Integer.toHexString(KEPT_BYTES) + "\r\n"));
                out.write(new byte[KEPT_BYTES]);
                out.flush();
              }));
    }
    NodeAddress sound = server(EndlessControlAnswerTest::sound);
    List<Boolean> answered = new ArrayList<>();
    long mostBytes = 0;
    for (int count = 0; count < 400; count++) {
      answered.add(call(sound).get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).isRight());
      mostBytes = Math.max(mostBytes, PlatformDependent.usedDirectMemory() - beforeBytes);
      Thread.sleep(2);
    }
    assertThat(mostBytes, lessThanOrEqualTo(DIRECT_MEMORY_BYTES / 2));
    assertThat(answered, everyItem(is(true)));
    assertThat(memory.refusals(MemoryUser.CONTROL_ANSWERS), greaterThan(1L));
    assertThat(lines.size(), is(1));
  }

  // Guards against a call that waits for its time limit, or a cut body that counts as complete.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nX-Filler: ",
        "HTTP/1.1 200 ",
        CHUNKED + "1;extension=",
        CHUNKED + "0\r\nX-Trailer: ",
        "HTTP/1.1 200 OK\r\n\r\n",
      })
  void answerWithPartWithoutEndIsCutOff(String start) throws Exception {
    NodeAddress address =
        server(
            (connection, out) -> {
              out.write(ascii(start));
              while (true) {
                out.write(ascii("x".repeat(1024)));
              }
            });
    assertThat(
        call(address).get(CALL_TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS),
        is(Either.left(ControlFailure.OUTCOME_UNKNOWN)));
  }

  // Guards against parts of one byte that keep a read buffer each.
  @Test
  void bodyThatArrivesByteByByteUsesNoMoreThanItsSize() throws Exception {
    CompletableFuture<Boolean> written = new CompletableFuture<>();
    NodeAddress address =
        server(
            (connection, out) -> {
              connection.setTcpNoDelay(true);
              out.write(ascii(CHUNKED));
              for (int count = 0; count < 2_000; count++) {
                out.write(ascii("1\r\nx\r\n"));
                out.flush();
              }
              written.complete(true);
            });
    call(address);
    written.get(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(
        memory.account(MemoryUser.CONTROL_ANSWERS).usedBytes(), lessThanOrEqualTo(4 * 1024L));
  }
}
