package io.zinniawood.relay.internal;

import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.frame.ForeignHeadScanner;

/** Tells heads of responses from other bytes that the decoder accepts as such. */
public final class ResponseHeads {
  private ResponseHeads() {}

  /**
   * Returns whether a message is the head of one response. The decoder also accepts a head that
   * lacks its first byte, and one whose rest is the head of another response.
   */
  public static boolean isWellFormed(Object message) {
    return message instanceof HttpResponse response
        && response.decoderResult().isSuccess()
        && response.protocolVersion().protocolName().equals("HTTP")
        && !ForeignHeadScanner.completedByAnotherHead(
            response.status().reasonPhrase(),
            response.headers().entries().stream()
                .map(field -> field.getKey() + " " + field.getValue()));
  }
}
