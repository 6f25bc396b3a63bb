package io.zinniawood.entry.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class CallerConnectionTest {
  private static final int MAX_BODY_BYTES = 1_024;
  private static final String GET = "GET /x HTTP/1.1\r\nHost: a\r\n";

  private final CallerConnections connections = TestConnections.setup(MAX_BODY_BYTES);
  private final CallerConnections.Shares shares = connections.newShares();
  private final List<HttpRequest> passedOn = new ArrayList<>();

  /** Takes the place of Jooby; answers no request by itself. */
  private final class FakeRoutes extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest request) {
        passedOn.add(request);
      }
      ReferenceCountUtil.release(message);
    }
  }

  private EmbeddedChannel connection() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel
        .pipeline()
        .addLast(ConnectionSetup.DECODER, new HttpRequestDecoder())
        .addLast(new HttpResponseEncoder())
        .addLast(ConnectionSetup.JOOBY, new FakeRoutes());
    // Each embedded channel has an event loop of its own, which would have shares of its own.
    connections.install(channel, shares);
    return channel;
  }

  private static void receive(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static String written(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.UTF_8));
      part.release();
    }
    return text.toString();
  }

  // Guards against heads that are bounded each but not together, and against a refusal that leaves
  // open whether the request ran.
  @Test
  void headsGiveWayWithAnOutcomeAndRequestsInProgressDoNot() {
    EmbeddedChannel inProgress = connection();
    receive(inProgress, GET + "a:\r\n".repeat(15_000) + "\r\n");
    assertThat(passedOn.size(), is(1));
    List<EmbeddedChannel> crowd = new ArrayList<>();
    for (int count = 0; count < 20; count++) {
      EmbeddedChannel channel = connection();
      receive(channel, GET + "a:\r\n".repeat(5_000));
      crowd.add(channel);
    }
    List<String> refusals = crowd.stream().map(CallerConnectionTest::written).toList();
    assertThat(refusals.stream().filter(text -> !text.isEmpty()).count(), is(greaterThan(10L)));
    for (String refusal : refusals) {
      if (!refusal.isEmpty()) {
        assertThat(refusal, startsWith("HTTP/1.1 503"));
        assertThat(refusal, containsString("retry-after: 1"));
        assertThat(refusal, containsString("\"outcome\":\"not-run\""));
      }
    }
    assertThat(passedOn.size(), is(1));
    assertThat(written(inProgress), is(""));
    inProgress.writeOutbound(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    assertThat(written(inProgress), startsWith("HTTP/1.1 200"));
  }

  // Guards against a body that is received in full before its size is checked.
  @Test
  void bodyOverTheLimitIsRefusedByItsDeclaredLength() {
    EmbeddedChannel channel = connection();
    receive(channel, "POST /x HTTP/1.1\r\nContent-Length: " + (MAX_BODY_BYTES + 1) + "\r\n\r\n");
    assertThat(written(channel), startsWith("HTTP/1.1 413"));
    assertThat(passedOn.isEmpty(), is(true));
  }
}
