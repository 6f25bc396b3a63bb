package io.zinniawood.relay;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.AnswerSummary;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.SendOptions;

/** Reads and writes the headers of one platform. */
public interface HeaderCodec {
  /** Returns what a caller's request says to the router. */
  CallerRequest decodeRequest(HttpRequest head);

  /**
   * Returns the head of a request to an endpoint: the caller's, without what concerns only the
   * caller's connection or is the router's to say, with the terms.
   *
   * @param head head that the caller sent
   * @param bodyBytes length of the body in bytes
   * @param terms terms of the dispatch
   */
  HttpRequest encodeRequest(HttpRequest head, int bodyBytes, SendOptions terms);

  /** Returns what the head of an endpoint's answer says to the router. */
  AnswerSummary summarize(HttpResponse head);

  /** Tells whether an answer names another request than the given one. */
  boolean belongsToOtherRequest(HttpResponse answer, CallerRequest request);
}
