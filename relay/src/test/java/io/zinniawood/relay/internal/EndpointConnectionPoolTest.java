package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.ingress.MemoryAccount;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class EndpointConnectionPoolTest {
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final int LONG_BODY_BYTES = 16 * 1024 * 1024;
  private static final String HALF_ANSWER =
      "HTTP/1.1 200 OK\r\n" + FakeEndpointListener.ID_HEADER + ": own\r\n\r\nhalf";

  private static final CallerRequest REQUEST =
      new CallerRequest(
          Optional.of(new RequestId(FakeEndpointListener.OWN_ID)),
          "host",
          "/x",
          Optional.empty(),
          OptionalLong.empty(),
          0,
          0,
          0,
          List.of());

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final FakeEndpointListener listener = new FakeEndpointListener();

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private List<AttemptFailureCause> failuresOnceThereAreAny() throws Exception {
    long endNanos = System.nanoTime() + MAX_WAIT_NANOS;
    List<AttemptFailureCause> failures = List.of();
    while (failures.isEmpty() && System.nanoTime() - endNanos < 0) {
      failures = loop.submit(() -> List.copyOf(listener.failures)).get();
      Thread.onSpinWait();
    }
    return failures;
  }

  // The first half of an answer without a length reached a caller as a whole 200.
  @Test
  void answerCutWhileItsRequestIsBeingSentIsLost() throws Exception {
    try (ServerSocket endpoint = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, LONG_BODY_BYTES);
      EndpointConnectionPool pool = newPool();
      EndpointExchange exchange =
          newExchange(endpoint, head, Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]));
      loop.execute(() -> pool.send(exchange, head));
      try (Socket connection = endpoint.accept()) {
        connection.getInputStream().read();
        connection.getOutputStream().write(HALF_ANSWER.getBytes(StandardCharsets.US_ASCII));
        awaitHead();
      }
      assertThat(failuresOnceThereAreAny(), is(List.of(AttemptFailureCause.CONNECTION_LOST)));
      assertThat(loop.submit(() -> List.copyOf(listener.answers)).get(), empty());
    }
  }

  // An endpoint repeated its answer late; a caller who sent its request again got it as a success.
  @Test
  void requestThatComesAgainIsNotSentWhereItsFirstAnswerMayBeRepeated() throws Exception {
    try (ServerSocket endpoint = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
      HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
      EndpointConnectionPool pool = newPool();
      loop.execute(() -> pool.send(newExchange(endpoint, head, Unpooled.EMPTY_BUFFER), head));
      try (Socket first = endpoint.accept()) {
        first.getOutputStream().write(answer(200));
        awaitAnswers(1);
        loop.execute(() -> pool.send(newExchange(endpoint, head, Unpooled.EMPTY_BUFFER), head));
        endpoint.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(MAX_WAIT_NANOS));
        try (Socket second = endpoint.accept()) {
          first.getOutputStream().write(answer(200));
          second.getOutputStream().write(answer(503));
          awaitAnswers(2);
        }
      }
      assertThat(loop.submit(() -> List.copyOf(listener.answers)).get(), is(List.of(200, 503)));
    }
  }

  private static byte[] answer(int status) {
    return ("HTTP/1.1 %d Status\r\nContent-Length: 0\r\n%s: own\r\n\r\n")
        .formatted(status, FakeEndpointListener.ID_HEADER)
        .getBytes(StandardCharsets.US_ASCII);
  }

  private void awaitAnswers(int count) throws Exception {
    long endNanos = System.nanoTime() + MAX_WAIT_NANOS;
    while (loop.submit(() -> listener.answers.size()).get() < count
        && System.nanoTime() - endNanos < 0) {
      Thread.onSpinWait();
    }
  }

  private void awaitHead() throws Exception {
    long endNanos = System.nanoTime() + MAX_WAIT_NANOS;
    while (loop.submit(() -> listener.heads.isEmpty()).get() && System.nanoTime() - endNanos < 0) {
      Thread.onSpinWait();
    }
  }

  private EndpointConnectionPool newPool() {
    return new EndpointConnectionPool(
        loop, new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {}), listener);
  }

  private static EndpointExchange newExchange(
      ServerSocket endpoint, HttpRequest head, ByteBuf body) {
    return new EndpointExchange(
        new CallerExchange(new RelayRequestId(1), head, REQUEST, body, null),
        1,
        new NodeAddress("127.0.0.1", endpoint.getLocalPort()),
        EndpointExchanges.options(1_000, false));
  }

  // An exception after the connect left the request at no endpoint until its deadline.
  @Test
  void attemptEndsWhenItsRequestCannotBeWrittenToTheNewConnection() throws Exception {
    try (ServerSocket endpoint = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
      ByteBuf released = Unpooled.buffer();
      released.release();
      EndpointExchange exchange = newExchange(endpoint, head, released);
      EndpointConnectionPool pool = newPool();
      loop.execute(() -> pool.send(exchange, head));
      assertThat(failuresOnceThereAreAny(), is(List.of(AttemptFailureCause.NOT_SENT)));
      assertThat(listener.faults, is(List.of("effect-failed write-request")));
    }
  }
}
