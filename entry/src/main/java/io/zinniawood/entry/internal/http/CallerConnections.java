package io.zinniawood.entry.internal.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.zinniawood.core.model.Problem;
import io.zinniawood.ingress.CallerMemory;
import io.zinniawood.ingress.CallerRequestDecoder;
import io.zinniawood.ingress.MemoryAccount;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * Prepares callers' connections and divides the memory of the process among them. Each event loop
 * has an equal share of its own, so that the counts need no locks.
 */
public final class CallerConnections implements ConnectionSetup {
  private static final int MAX_REQUEST_LINE_BYTES = 8_192;

  /** Share of the heap for heads and for bodies of requests in progress. */
  private static final int HEAP_DIVISOR = 4;

  /** Share of the direct memory for bodies that are not complete. */
  private static final int BODY_DIVISOR = 8;

  /** Bodies of the largest size for which a share has room, so that one is served in calm. */
  private static final int MIN_BODIES = 5;

  /** Share of the direct memory for unsent answers: three eighths; one answer can have 8 MiB. */
  private static final int ANSWER_DIVISOR = 8;

  private static final int ANSWER_FACTOR = 3;

  private final Limits limits;
  private final Function<Problem, FullHttpResponse> refusals;
  private final MemoryAccount.ShortageListener shortages;
  private final Map<EventLoop, Shares> sharesByLoop = new ConcurrentHashMap<>();

  /**
   * Limits of a listener.
   *
   * @param maxBodyBytes largest request body in bytes
   * @param heapBytes maximum size of the heap in bytes
   * @param directMemoryBytes limit of the process on direct memory in bytes
   * @param maxConnections number of connections above which an idle one is closed
   * @param eventLoops number of event loops that serve the listener's connections
   */
  public record Limits(
      int maxBodyBytes,
      long heapBytes,
      long directMemoryBytes,
      int maxConnections,
      int eventLoops) {}

  /**
   * Memory of the connections of one event loop.
   *
   * @param requests heads, and bodies of requests in progress
   * @param bodies bodies that are not complete
   * @param answers answers that are not sent
   */
  record Shares(CallerMemory requests, MemoryAccount bodies, CallerMemory answers) {}

  /**
   * Creates the setup of a listener.
   *
   * @param refusals creates the response to a request that is refused before the routes see it
   * @param shortages called for each refusal for want of memory
   */
  public CallerConnections(
      Limits limits,
      Function<Problem, FullHttpResponse> refusals,
      MemoryAccount.ShortageListener shortages) {
    this.limits = limits;
    this.refusals = refusals;
    this.shortages = shortages;
  }

  /** Returns the unused shares of one event loop. */
  Shares newShares() {
    long directBytes = limits.directMemoryBytes() / limits.eventLoops();
    long heapBytes = limits.heapBytes() / limits.eventLoops();
    long minBytes = (long) limits.maxBodyBytes() * MIN_BODIES;
    return new Shares(
        new CallerMemory(
            account(Math.max(heapBytes / HEAP_DIVISOR, minBytes), 0),
            limits.maxConnections() / limits.eventLoops()),
        account(Math.max(directBytes / BODY_DIVISOR, minBytes), limits.maxBodyBytes()),
        new CallerMemory(
            account(directBytes / ANSWER_DIVISOR * ANSWER_FACTOR, 0), limits.maxConnections()));
  }

  private MemoryAccount account(long bytes, int maxBufferBytes) {
    return new MemoryAccount(bytes, maxBufferBytes, shortages);
  }

  @Override
  public void install(Channel connection) {
    install(
        connection,
        sharesByLoop.computeIfAbsent((EventLoop) connection.eventLoop(), loop -> newShares()));
  }

  /** Prepares a connection that counts against the given shares. */
  void install(Channel connection, Shares shares) {
    Queue<HttpMethod> unanswered = new ArrayDeque<>();
    CallerConnection handler =
        new CallerConnection(shares, limits.maxBodyBytes(), unanswered, refusals);
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(HttpServer.MAX_DECODED_HEADER_BYTES);
    CallerRequestDecoder decoder =
        new CallerRequestDecoder(config, RequestHeaders.MAX_HEADER_BYTES, unanswered, handler);
    handler.decodedBy(decoder);
    connection.pipeline().replace(DECODER, DECODER, decoder);
    connection.pipeline().addBefore(JOOBY, "caller", handler);
  }
}
