package io.zinniawood.relay.internal;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.limit.StatedLimit;
import io.zinniawood.core.relay.AnswerSummary;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.EndpointStatement;
import io.zinniawood.core.relay.SendOptions;
import io.zinniawood.relay.AnsweredRequest;
import io.zinniawood.relay.HeaderCodec;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Codec that fails on one of its methods, as on a head that its author did not expect. */
final class FailingCodec implements HeaderCodec {
  /** Method that fails. */
  enum Method {
    DECODE_REQUEST,
    ENCODE_REQUEST,
    NONE
  }

  private final Method failing;
  private final Runnable fault;

  FailingCodec(Method failing) {
    this(
        failing,
        () -> {
          throw new IllegalStateException("fault in " + failing);
        });
  }

  /** Creates a codec one of whose methods runs a fault, which throws. */
  FailingCodec(Method failing, Runnable fault) {
    this.failing = failing;
    this.fault = fault;
  }

  private void failIf(Method called) {
    if (called == failing) {
      fault.run();
    }
  }

  @Override
  public CallerRequest decodeRequest(HttpRequest head) {
    failIf(Method.DECODE_REQUEST);
    return new CallerRequest(
        Optional.of(new RequestId("r")),
        "host",
        head.uri(),
        Optional.empty(),
        OptionalLong.empty(),
        0,
        0,
        0,
        List.of());
  }

  @Override
  public HttpRequest encodeRequest(HttpRequest head, int bodyBytes, SendOptions options) {
    failIf(Method.ENCODE_REQUEST);
    return new DefaultHttpRequest(head.protocolVersion(), head.method(), head.uri());
  }

  @Override
  public AnswerSummary summarize(HttpResponse head) {
    return new AnswerSummary(
        head.status().code(), true, false, Optional.empty(), false, StatedLimit.NONE);
  }

  @Override
  public EndpointStatement statement(HttpResponse head) {
    return new EndpointStatement(false, OptionalLong.empty(), StatedLimit.NONE, Optional.empty());
  }

  @Override
  public void removeEndpointHeaders(HttpResponse head) {}

  @Override
  public AnsweredRequest answeredRequest(HttpResponse answer, CallerRequest request) {
    return AnsweredRequest.OWN;
  }
}
