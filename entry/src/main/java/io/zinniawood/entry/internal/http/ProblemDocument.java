package io.zinniawood.entry.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Context;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.Problem;
import java.util.Locale;

/** Creates and sends problem documents (RFC 9457). */
public final class ProblemDocument {
  private static final String TYPE_PREFIX = "urn:zinniawood:problem:";
  private static final String MEDIA_TYPE = "application/problem+json";
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ProblemDocument() {}

  /** Returns the document of a problem as JSON. */
  public static byte[] toJson(Problem problem, RequestId request) {
    ObjectNode document =
        MAPPER
            .createObjectNode()
            .put("type", TYPE_PREFIX + problem.type().slug())
            .put("title", problem.type().slug().replace('-', ' '))
            .put("status", problem.type().httpStatus())
            .put("detail", problem.detail())
            .put("instance", "urn:zinniawood:request:" + request.value())
            .put("outcome", problem.outcome().text());
    problem.retryAfterMillis().forEach(millis -> document.put("retryAfterMillis", millis));
    try {
      return MAPPER.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("serializing a JSON tree failed", e);
    }
  }

  /** Sends a problem as the complete response. */
  static void send(Context context, Problem problem, RequestId request) {
    problem
        .retryAfterMillis()
        .forEach(millis -> context.setResponseHeader("Retry-After", retryAfterSeconds(millis)));
    context.setResponseHeader("X-Request-Id", request.value());
    context.setResponseCode(problem.type().httpStatus());
    context.setResponseType(MEDIA_TYPE);
    context.send(toJson(problem, request));
  }

  /** Returns a problem as a complete response after which the connection closes. */
  public static FullHttpResponse closingResponse(Problem problem, RequestId request) {
    ByteBuf content = Unpooled.wrappedBuffer(toJson(problem, request));
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(problem.type().httpStatus()), content);
    HttpHeaders headers = response.headers();
    problem
        .retryAfterMillis()
        .forEach(millis -> headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds(millis)));
    headers.set("X-Request-Id", request.value());
    headers.set(HttpHeaderNames.CONTENT_TYPE, MEDIA_TYPE);
    headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
  }

  // Retry-After has a resolution of seconds; rounding up prevents a retry that is too early.
  private static String retryAfterSeconds(long millis) {
    long seconds = Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    return String.format(Locale.ROOT, "%d", seconds);
  }
}
