package io.zinniawood.relay.internal;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** Transfer codings of a message. */
final class TransferCodings {
  private TransferCodings() {}

  /** Returns whether a body has a coding other than chunks, which the decoder leaves in place. */
  static boolean hasOtherThanChunked(HttpHeaders headers) {
    return headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
        .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.strip()));
  }
}
