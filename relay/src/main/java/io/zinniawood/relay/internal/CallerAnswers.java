package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.zinniawood.core.relay.LocalAnswer;
import io.zinniawood.relay.HopByHopHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds the answers that callers receive. */
final class CallerAnswers {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Retry-After, in milliseconds, of a request that a failure inside the relay ended. */
  private static final long FAILURE_RETRY_MILLIS = 1_000;

  /** Retry-After, in milliseconds, of a request whose body finds no memory. */
  private static final long MEMORY_RETRY_MILLIS = 1_000;

  /** Retry-After, in milliseconds, of a request that a stopping relay refuses, as in the core. */
  private static final long DRAINING_RETRY_MILLIS = 200;

  private CallerAnswers() {}

  /** Returns the interim answer that asks for the body. */
  static FullHttpResponse proceed() {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
  }

  /** Returns the refusal of a request that was not read completely; the connection closes. */
  static FullHttpResponse early(HttpResponseStatus status) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
  }

  /** Returns the refusal of a request that was not decided on because of a failure. */
  static LocalAnswer internalFailure() {
    return LocalAnswer.notRun("internal-failure", FAILURE_RETRY_MILLIS);
  }

  /** Returns the refusals of requests that were not decided on; the last one closes. */
  static List<FullHttpResponse> internalFailures(int count) {
    List<FullHttpResponse> refusals = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      refusals.add(local(internalFailure()));
    }
    if (count > 0) {
      refusals.get(count - 1).headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return refusals;
  }

  /** Returns the refusal of a request whose body finds no memory. */
  static FullHttpResponse memoryShort() {
    return local(LocalAnswer.notRun("memory-short", MEMORY_RETRY_MILLIS));
  }

  /** Returns the refusal of a request that is not received completely when the process stops. */
  static FullHttpResponse draining() {
    return local(LocalAnswer.notRun("draining", DRAINING_RETRY_MILLIS));
  }

  /** Returns an answer that the relay generated. */
  static FullHttpResponse local(LocalAnswer answer) {
    String reason = "{\"reason\":\"" + answer.reason() + "\"}";
    ByteBuf content = Unpooled.copiedBuffer(reason, StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), content);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    answer
        .retryAfterMillis()
        .ifPresent(
            millis ->
                response
                    .headers()
                    .set(
                        HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)));
    return response;
  }

  /** Returns an endpoint's complete answer to a request. */
  static FullHttpResponse full(HttpRequest request, HttpResponse upstream, ByteBuf content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, upstream.status(), content);
    HopByHopHeaders.copyEndToEnd(upstream.headers(), response.headers());
    if (HttpMethod.HEAD.equals(request.method())
        || upstream.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
      // The length is that of the body which another request or status would have brought.
      String length = upstream.headers().get(HttpHeaderNames.CONTENT_LENGTH);
      if (length != null) {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
      }
    } else {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    }
    return response;
  }

  /** Returns the head of an endpoint's event stream. */
  static HttpResponse streamHead(HttpResponse upstream) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, upstream.status());
    HopByHopHeaders.copyEndToEnd(upstream.headers(), response.headers());
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    return response;
  }
}
