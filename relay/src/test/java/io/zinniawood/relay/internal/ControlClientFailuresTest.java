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
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ControlClientFailuresTest {
  private static final long MAX_WAIT_SECONDS = 5;
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();

  private final List<String> lines = new CopyOnWriteArrayList<>();

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private static void answerOnce(ServerSocket server) {
    try (Socket accepted = server.accept()) {
      accepted.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
      accepted.getInputStream().readAllBytes();
    } catch (IOException closed) {
      // The client closes the connection.
    }
  }

  // A response that its receiver could not handle left the read of the store pending for good.
  @Test
  void callWhoseReceiverFailsOnTheResponseFails() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread answering = new Thread(() -> answerOnce(server));
      answering.start();
      CompletableFuture<ControlFailure> failure = new CompletableFuture<>();
      loop.execute(
          () ->
              newClient()
                  .call(
                      new NodeAddress("127.0.0.1", server.getLocalPort()),
                      HttpMethod.GET,
                      "/rows",
                      Map.of(),
                      new byte[0],
                      TimeUnit.SECONDS.toMillis(1),
                      result -> receive(result, failure)));
      assertThat(
          failure.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS), is(ControlFailure.OUTCOME_UNKNOWN));
      assertThat(lines, is(List.of("callback-failed control-response")));
    }
  }

  // The first half of a response without a length was decoded as if it were whole.
  @Test
  void responseWithoutLengthThatIsResetIsLost() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Boolean> headReceived = new CompletableFuture<>();
      CompletableFuture<Either<ControlFailure, ControlResponse>> result = new CompletableFuture<>();
      loop.execute(
          () ->
              newClient()
                  .call(
                      new NodeAddress("127.0.0.1", server.getLocalPort()),
                      HttpMethod.GET,
                      "/rows",
                      Map.of(),
                      new byte[0],
                      TimeUnit.SECONDS.toMillis(MAX_WAIT_SECONDS),
                      head -> headReceived.complete(true),
                      result::complete));
      try (Socket accepted = server.accept()) {
        accepted
            .getOutputStream()
            .write("HTTP/1.1 200 OK\r\n\r\n{\"half".getBytes(StandardCharsets.US_ASCII));
        headReceived.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        accepted.setSoLinger(true, 0);
      }
      assertThat(
          result.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS),
          is(Either.left(ControlFailure.OUTCOME_UNKNOWN)));
    }
  }

  private ControlClient newClient() {
    return new ControlClient(
        loop,
        new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {}),
        (event, subject, fault) -> lines.add(event + " " + subject));
  }

  private static void receive(
      Either<ControlFailure, ControlResponse> result, CompletableFuture<ControlFailure> failure) {
    result
        .peekLeft(failure::complete)
        .peek(
            response -> {
              throw new StackOverflowError();
            });
  }
}
