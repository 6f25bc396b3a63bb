package io.zinniawood.relay.internal;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.ingress.CallerRequestDecoder;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;
import java.util.Queue;

/**
 * HTTP codec of a caller's connection. Unlike Netty's own codec for servers, its decoder counts
 * what it holds.
 */
public final class CallerCodec
    extends CombinedChannelDuplexHandler<CallerRequestDecoder, HttpResponseEncoder> {
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;

  /**
   * Header size that a decoder accepts at least. A decoder keeps its limit, so the limit in force
   * is applied to the decoded head; this one bounds the memory.
   */
  private static final int MIN_DECODER_LIMIT_BYTES = 64 * 1024;

  /** Characters of a header line beside the name and the value. */
  private static final int SEPARATOR_BYTES = 2;

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

  private CallerCodec(CallerRequestDecoder decoder, HttpResponseEncoder encoder) {
    super(decoder, encoder);
  }

  /** Creates the codec of a connection that is accepted under these limits. */
  public static CallerCodec create(RequestLimits limits, CallerHandler caller) {
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(Math.max(MIN_DECODER_LIMIT_BYTES, limits.maxHeaderBytes()));
    Queue<HttpMethod> unanswered = new ArrayDeque<>();
    CallerRequestDecoder decoder =
        new CallerRequestDecoder(config, limits.maxHeaderBytes(), unanswered, caller);
    caller.decodedBy(decoder);
    return new CallerCodec(decoder, new Encoder(unanswered));
  }

  /** Encodes answers; those to HEAD and CONNECT have other bodies than those to other methods. */
  private static final class Encoder extends HttpResponseEncoder {
    private final Queue<HttpMethod> unanswered;
    private HttpMethod method = HttpMethod.GET;

    Encoder(Queue<HttpMethod> unanswered) {
      this.unanswered = unanswered;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
      if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        method = unanswered.isEmpty() ? HttpMethod.GET : unanswered.remove();
        if (HttpMethod.HEAD.equals(method)) {
          return true;
        }
      }
      return super.isContentAlwaysEmpty(response);
    }

    @Override
    protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
      if (!alwaysEmpty
          && HttpMethod.CONNECT.equals(method)
          && response.status().codeClass() == HttpStatusClass.SUCCESS) {
        response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
      } else {
        super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
      }
    }
  }
}
