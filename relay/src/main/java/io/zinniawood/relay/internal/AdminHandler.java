package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.zinniawood.relay.FailureLog;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Serves metrics under {@code /metrics} and the load balancer's readiness probe elsewhere. */
public final class AdminHandler extends SimpleChannelInboundHandler<HttpObject> {
  private static final String METRICS_PATH = "/metrics";

  private final BooleanSupplier ready;
  private final Supplier<String> metrics;
  private final FailureLog failures;
  private HttpRequest request;

  /**
   * Creates a handler for one connection.
   *
   * @param ready whether the relay accepts new connections
   * @param metrics metrics in the Prometheus text format
   * @param failures receives the failures of this handler
   */
  public AdminHandler(BooleanSupplier ready, Supplier<String> metrics, FailureLog failures) {
    this.failures = failures;
    this.ready = ready;
    this.metrics = metrics;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (!context.channel().isWritable()) {
      // The reader takes no answers; metrics would collect in memory.
      context.close();
      return;
    }
    if (message instanceof HttpRequest head) {
      request = head;
    }
    if (message instanceof LastHttpContent && request != null) {
      boolean keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
      FullHttpResponse response = answerContained();
      request = null;
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      HttpUtil.setKeepAlive(response, keepAlive);
      var written =
          context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }
  }

  private FullHttpResponse answerContained() {
    try {
      return answer();
    } catch (RuntimeException | Error failure) {
      failures.failed("callback-failed", "admin", failure);
      return response(HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
    }
  }

  private FullHttpResponse answer() {
    if (request.decoderResult().isFailure()) {
      return response(HttpResponseStatus.BAD_REQUEST, "");
    }
    if (METRICS_PATH.equals(request.uri())) {
      return response(HttpResponseStatus.OK, metrics.get());
    }
    return ready.getAsBoolean()
        ? response(HttpResponseStatus.OK, "")
        : response(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
  }

  private static FullHttpResponse response(HttpResponseStatus status, String text) {
    ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4");
    return response;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The load balancer repeats its probe on a new connection.
    context.close();
  }
}
