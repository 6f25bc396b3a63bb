package io.zinniawood.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Decodes the requests of a caller and counts what the decoder holds or has skipped: lines of heads
 * and trailers that are not complete, empty lines, and the framing of chunks.
 */
public final class CallerRequestDecoder extends HttpRequestDecoder {
  /** Maximum of empty lines before a request line, in bytes; some old clients send one. */
  private static final int MAX_EMPTY_BYTES = 1_024;

  /** Bytes of a chunk beside content and extensions: 16 digits and two line ends. */
  private static final int CHUNK_FRAMING_BYTES = 20;

  /**
   * Requests that are decoded and not answered, above which input is refused; the limit of Netty's
   * codec. One read may contain thousands of requests.
   */
  private static final int MAX_UNANSWERED = 128;

  private final int maxFramingBytes;
  private final Queue<HttpMethod> unanswered;
  private final Input input;
  private boolean inBody;
  private long heldBytes;
  private long emptyBytes;
  private long framingBytes;

  /** Connection whose input is decoded. */
  public interface Input {
    /** Returns whether the rest of the input is discarded. */
    boolean discarded();

    /** The memory that the decoder holds has changed. */
    void decoderHolds(long bytes);

    /** The caller sends more framing or empty lines than is read. */
    void framingExceeded();

    /** The caller sends more requests than are queued. */
    void pipelineExceeded();
  }

  /**
   * Creates a decoder.
   *
   * @param maxFramingBytes maximum size of the trailers and chunk extensions of one request
   * @param unanswered receives the methods of the decoded requests
   */
  public CallerRequestDecoder(
      HttpDecoderConfig config, int maxFramingBytes, Queue<HttpMethod> unanswered, Input input) {
    super(config);
    this.maxFramingBytes = maxFramingBytes;
    this.unanswered = unanswered;
    this.input = input;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (input.discarded()) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    int start = buffer.readerIndex();
    int before = out.size();
    super.decode(context, buffer, out);
    count(buffer, start, out.subList(before, out.size()));
    input.decoderHolds(heldBytes + buffer.readableBytes());
    if (emptyBytes > MAX_EMPTY_BYTES || framingBytes > maxFramingBytes) {
      input.framingExceeded();
    } else if (unanswered.size() > MAX_UNANSWERED) {
      input.pipelineExceeded();
    }
  }

  private void count(ByteBuf buffer, int start, List<Object> decoded) {
    int consumedBytes = buffer.readerIndex() - start;
    if (inBody) {
      framingBytes += consumedBytes;
    } else if (decoded.isEmpty()
        && heldBytes == 0
        && buffer.forEachByte(start, consumedBytes, value -> value <= ' ' && value >= 0) < 0) {
      emptyBytes += consumedBytes;
      return;
    }
    heldBytes = decoded.isEmpty() ? heldBytes + cost(buffer, start, consumedBytes) : 0;
    decoded.forEach(this::countMessage);
  }

  private static long cost(ByteBuf buffer, int start, int bytes) {
    int lines = 0;
    for (int index = start; index < start + bytes; index++) {
      if (buffer.getByte(index) == '\n') {
        lines++;
      }
    }
    return bytes + lines * HeadCost.LINE_BYTES;
  }

  private void countMessage(Object message) {
    if (message instanceof HttpRequest request) {
      unanswered.add(request.method());
      inBody = true;
      emptyBytes = 0;
      framingBytes = 0;
    }
    if (message instanceof LastHttpContent) {
      inBody = false;
      framingBytes = 0;
    } else if (message instanceof HttpContent content) {
      long chunkBytes = content.content().readableBytes() + CHUNK_FRAMING_BYTES;
      framingBytes = Math.max(0, framingBytes - chunkBytes);
    }
  }

  /** Releases what the decoder holds; the rest of the input is discarded. */
  public void drop(ChannelHandlerContext context) throws Exception {
    reset();
    // The decoder resets itself at the next call.
    super.decode(context, Unpooled.EMPTY_BUFFER, new ArrayList<>());
    heldBytes = 0;
    input.decoderHolds(0);
  }
}
