package io.zinniawood.relay;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.AnswerSummary;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.EndpointStatement;
import io.zinniawood.core.relay.SendOptions;

/** Encodes and decodes the HTTP headers of one platform. */
public interface HeaderCodec {
  /** Decodes the properties of a caller's request that the relay decides on. */
  CallerRequest decodeRequest(HttpRequest head);

  /**
   * Returns the head of a request to an endpoint. It is the caller's head without hop-by-hop
   * headers and without headers that only the router may set, plus the headers for the options.
   *
   * @param head head that the caller sent
   * @param bodyBytes length of the body in bytes
   * @param options options of this attempt
   */
  HttpRequest encodeRequest(HttpRequest head, int bodyBytes, SendOptions options);

  /** Decodes the properties of an endpoint's answer that the relay decides on. */
  AnswerSummary summarize(HttpResponse head);

  /** Decodes what an endpoint says about itself in the head of any answer. */
  EndpointStatement statement(HttpResponse head);

  /** Removes the headers that endpoints address to the relay only. */
  void removeEndpointHeaders(HttpResponse head);

  /** Returns which request an answer belongs to, given the request that waits for one. */
  AnsweredRequest answeredRequest(HttpResponse answer, CallerRequest request);
}
