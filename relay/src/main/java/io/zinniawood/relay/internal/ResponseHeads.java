package io.zinniawood.relay.internal;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;

/** Tells heads of responses from other bytes that the decoder accepts as such. */
public final class ResponseHeads {
  private ResponseHeads() {}

  /**
   * Returns whether a message is the head of a response. The decoder accepts other protocol names,
   * such as that of a head that lacks its first byte.
   */
  public static boolean isWellFormed(HttpObject message) {
    return message instanceof HttpResponse response
        && response.decoderResult().isSuccess()
        && response.protocolVersion().protocolName().equals("HTTP");
  }
}
