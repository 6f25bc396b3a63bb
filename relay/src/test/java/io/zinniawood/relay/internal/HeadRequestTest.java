package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.AnswerEvidence;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.LocalAnswer;
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

/** Answers to HEAD requests and other answers that have a length but no body. */
final class HeadRequestTest {
  private static final int MAX_WAIT_MILLIS = 2_000;
  private static final String HEAD_ANSWER =
      "HTTP/1.1 200 OK\r\n" + FakeEndpointListener.ID_HEADER + ": own\r\n" + "%s\r\n\r\n";
  private static final String HEAD_REQUEST = "HEAD /x HTTP/1.1\r\nHost: host\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final FakeEndpointListener listener = new FakeEndpointListener();

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private EndpointExchange send(EndpointConnectionPool pool, ServerSocket endpoint, String method) {
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/x");
    CallerRequest request =
        new CallerRequest(
            Optional.of(new RequestId(method)),
            "host",
            "/x",
            Optional.empty(),
            OptionalLong.empty(),
            0,
            0,
            0,
            List.of());
    EndpointExchange exchange =
        new EndpointExchange(
            new CallerExchange(new RelayRequestId(1), head, request, Unpooled.EMPTY_BUFFER, null),
            1,
            new NodeAddress("127.0.0.1", endpoint.getLocalPort()),
            EndpointExchanges.options(MAX_WAIT_MILLIS, false));
    loop.execute(() -> pool.send(exchange, head));
    return exchange;
  }

  private EndpointConnectionPool newPool() {
    return new EndpointConnectionPool(
        loop, new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {}), listener);
  }

  private List<Integer> awaitAnswers(int count) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
    while (loop.submit(() -> listener.answers.size()).get() < count
        && System.nanoTime() - endNanos < 0) {
      Thread.onSpinWait();
    }
    return loop.submit(() -> List.copyOf(listener.answers)).get();
  }

  private static void answer(Socket connection, String framing) throws Exception {
    connection
        .getOutputStream()
        .write(HEAD_ANSWER.formatted(framing).getBytes(StandardCharsets.US_ASCII));
  }

  // The answer to a HEAD request waited for the body that its length stated, until the deadline.
  @Test
  void answerToHeadRequestEndsWithItsHead() throws Exception {
    for (String framing : List.of("Content-Length: 5", "Transfer-Encoding: chunked", "X-None: 1")) {
      listener.answers.clear();
      try (ServerSocket endpoint = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
        EndpointExchange exchange = send(newPool(), endpoint, "HEAD");
        try (Socket connection = endpoint.accept()) {
          answer(connection, framing);
          assertThat(framing, awaitAnswers(1), is(List.of(200)));
          assertThat(framing, exchange.evidence().end(), is(AnswerEvidence.End.STATUS));
        }
      }
    }
    assertThat(listener.unconfirmed, empty());
  }

  // The body of an earlier answer that came late would be read as heads, or the other way round.
  @Test
  void headRequestHasConnectionOfItsOwn() throws Exception {
    try (ServerSocket endpoint = new ServerSocket(0, 3, InetAddress.getLoopbackAddress())) {
      endpoint.setSoTimeout(MAX_WAIT_MILLIS);
      EndpointConnectionPool pool = newPool();
      send(pool, endpoint, "GET");
      try (Socket first = endpoint.accept()) {
        answer(first, "Content-Length: 0");
        awaitAnswers(1);
        send(pool, endpoint, "HEAD");
        try (Socket second = endpoint.accept()) {
          answer(second, "Content-Length: 0");
          assertThat(awaitAnswers(2), is(List.of(200, 200)));
          second.setSoTimeout(MAX_WAIT_MILLIS);
          byte[] sent = second.getInputStream().readAllBytes();
          assertThat(new String(sent, StandardCharsets.US_ASCII), endsWith("\r\n\r\n"));
        }
      }
    }
  }

  private static HttpResponse upstream(HttpResponseStatus status, String length) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    head.headers().set("Content-Length", length);
    return head;
  }

  private static String answerToCaller(String request, HttpResponse upstream) {
    FakeCallerListener caller = new FakeCallerListener();
    CallerHandler handler = new CallerHandler(caller);
    EmbeddedChannel channel =
        new EmbeddedChannel(CallerCodec.create(caller.limits, handler), handler);
    channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
    if (upstream == null) {
      handler.writeLocalAnswer(LocalAnswer.notRun("busy", 1_000));
    } else {
      handler.writeFullAnswer(upstream, Unpooled.EMPTY_BUFFER);
    }
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return text.toString();
  }

  // Callers of HEAD were told a length of 0, whatever the endpoint had stated.
  @Test
  void callerGetsTheLengthThatTheEndpointStatedForHead() {
    String answer = answerToCaller(HEAD_REQUEST + "\r\n", upstream(HttpResponseStatus.OK, "5"));
    assertThat(answer.toLowerCase(), containsString("content-length: 5\r\n"));
    assertThat(answer, endsWith("\r\n\r\n"));
  }

  // A 304 states the length of what was not modified.
  @Test
  void callerGetsTheLengthThatTheEndpointStatedIn304() {
    String answer =
        answerToCaller(
            "GET /x HTTP/1.1\r\nHost: host\r\n\r\n",
            upstream(HttpResponseStatus.NOT_MODIFIED, "5"));
    assertThat(answer.toLowerCase(), containsString("content-length: 5\r\n"));
    assertThat(answer, endsWith("\r\n\r\n"));
  }

  @Test
  void localAnswerToHeadHasNoBody() {
    assertThat(answerToCaller(HEAD_REQUEST + "\r\n", null), endsWith("\r\n\r\n"));
  }

  @Test
  void localAnswerToHeadThatExpectsAnInterimAnswerHasNoBody() {
    String answer = answerToCaller(HEAD_REQUEST + "Expect: 100-continue\r\n\r\n", null);
    assertThat(answer, not(containsString("reason")));
  }
}
