package io.zinniawood.ingress;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** Transfer codings of a message. */
public final class TransferCodings {
  private TransferCodings() {}

  /** Returns whether a body has a coding other than chunks, which the decoder leaves in place. */
  public static boolean hasOtherThanChunked(HttpHeaders headers) {
    return headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
        .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.strip()));
  }
}
