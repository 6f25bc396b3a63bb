package io.zinniawood.ingress;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Iterator;
import java.util.Map;

/** Estimated heap that decoded messages take. */
public final class HeadCost {
  /**
   * Heap of a header line beside its bytes: about 150 bytes for the entry, its name and its value
   * with their arrays, and 40 for the entry in the copy that is sent to the endpoint.
   */
  public static final long LINE_BYTES = 192;

  /** Heap of a message beside its header lines. */
  static final long MESSAGE_BYTES = 512;

  /** Memory of a written answer beside its content: its encoded head, promise and queue entries. */
  public static final long ANSWER_BYTES = 1_024;

  private HeadCost() {}

  /** Returns the cost of a decoded head, trailer or part of a body. */
  public static long of(Object message) {
    long bytes = MESSAGE_BYTES;
    if (message instanceof HttpRequest request) {
      bytes += request.uri().length() + of(request.headers());
    }
    if (message instanceof HttpContent content) {
      bytes += content.content().readableBytes();
    }
    if (message instanceof LastHttpContent last) {
      bytes += of(last.trailingHeaders());
    }
    return bytes;
  }

  private static long of(HttpHeaders headers) {
    long bytes = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> lines = headers.iteratorCharSequence();
    while (lines.hasNext()) {
      Map.Entry<CharSequence, CharSequence> line = lines.next();
      bytes += LINE_BYTES + line.getKey().length() + line.getValue().length();
    }
    return bytes;
  }
}
