package io.zinniawood.relay.internal;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpServerCodec;
import io.zinniawood.core.route.RequestLimits;
import java.util.Iterator;
import java.util.Map;

/** Creates the HTTP codec of callers' connections. */
public final class CallerCodec {
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;

  /**
   * Header size that a decoder accepts at least. A decoder keeps its limit, so the limit in force
   * is applied to the decoded head; this one bounds the memory.
   */
  private static final int MIN_DECODER_LIMIT_BYTES = 64 * 1024;

  /** Characters of a header line beside the name and the value. */
  private static final int SEPARATOR_BYTES = 2;

  private CallerCodec() {}

  /** Returns the size of the header lines of a head, in bytes, without their line ends. */
  static long headerBytes(HttpHeaders headers) {
    long bytes = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> lines = headers.iteratorCharSequence();
    while (lines.hasNext()) {
      Map.Entry<CharSequence, CharSequence> line = lines.next();
      bytes += line.getKey().length() + SEPARATOR_BYTES + line.getValue().length();
    }
    return bytes;
  }

  /** Creates the codec of a connection that is accepted under these limits. */
  public static HttpServerCodec create(RequestLimits limits) {
    return new HttpServerCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(Math.max(MIN_DECODER_LIMIT_BYTES, limits.maxHeaderBytes())));
  }
}
