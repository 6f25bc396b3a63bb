package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.ingress.MemoryAccount;
import io.zinniawood.relay.ControlClient;
import io.zinniawood.relay.ControlFailure;
import io.zinniawood.relay.ControlResponse;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays servers of control calls that send more than one response. */
final class SurplusControlAnswerTest {
  private static final int MAX_WAIT_MILLIS = 2_000;
  private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  private static final String REPEATED = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nrepeat";
  private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final ControlClient client =
      new ControlClient(
          loop,
          new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {}),
          (event, subject, fault) -> {});

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private void call(
      ServerSocket server, Consumer<Either<ControlFailure, ControlResponse>> receiver) {
    client.call(
        new NodeAddress("127.0.0.1", server.getLocalPort()),
        HttpMethod.GET,
        "/rows",
        Map.of(),
        new byte[0],
        MAX_WAIT_MILLIS,
        receiver);
  }

  private static void write(Socket connection, String text) throws Exception {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String body(Either<ControlFailure, ControlResponse> result) {
    return result.fold(
        ControlFailure::name, response -> new String(response.body(), StandardCharsets.US_ASCII));
  }

  // A response sent twice in one packet answered the call that followed from the first.
  @Test
  void repeatedResponseDoesNotAnswerTheNextCall() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(MAX_WAIT_MILLIS);
      CompletableFuture<String> next = new CompletableFuture<>();
      loop.execute(
          () -> call(server, first -> call(server, result -> next.complete(body(result)))));
      try (Socket connection = server.accept()) {
        write(connection, FIRST + REPEATED);
        try (Socket second = server.accept()) {
          write(second, SECOND);
          assertThat(next.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS), is("second"));
        }
      }
    }
  }

  // A response whose length another one filled was taken; the rest of that one showed it.
  @Test
  void responseThatIsFollowedByNoResponseIsLost() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<String> result = new CompletableFuture<>();
      loop.execute(() -> call(server, answer -> result.complete(body(answer))));
      try (Socket connection = server.accept()) {
        write(connection, FIRST.replace("first", "f") + REPEATED);
        assertThat(
            result.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS),
            is(ControlFailure.OUTCOME_UNKNOWN.name()));
      }
    }
  }

  // A response that another one had filled up to its end was taken, as nothing followed it.
  @Test
  void responseThatHoldsAnotherOneIsLost() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<String> result = new CompletableFuture<>();
      loop.execute(() -> call(server, answer -> result.complete(body(answer))));
      try (Socket connection = server.accept()) {
        String cut = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nf";
        write(connection, cut.formatted(1 + REPEATED.length()) + REPEATED);
        assertThat(
            result.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS),
            is(ControlFailure.OUTCOME_UNKNOWN.name()));
      }
    }
  }

  // A whole response to an order was lost, as bytes that are no response followed it.
  @Test
  void wholeResponseCountsWhateverFollows() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<String> result = new CompletableFuture<>();
      loop.execute(() -> call(server, answer -> result.complete(body(answer))));
      try (Socket connection = server.accept()) {
        write(connection, FIRST + "no response\r\n\r\n");
        assertThat(result.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS), is("first"));
      }
    }
  }

  @Test
  void connectionIsKeptForTheNextCallWhenNothingFollowsTheResponse() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<String> next = new CompletableFuture<>();
      loop.execute(
          () -> call(server, first -> call(server, result -> next.complete(body(result)))));
      try (Socket connection = server.accept()) {
        write(connection, FIRST);
        connection.getInputStream().read(new byte[4_096]);
        connection.setSoTimeout(MAX_WAIT_MILLIS);
        connection.getInputStream().read(new byte[4_096]);
        write(connection, SECOND);
        assertThat(next.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS), is("second"));
      }
    }
  }
}
