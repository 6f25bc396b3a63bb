package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.zinniawood.core.relay.LocalAnswer;
import io.zinniawood.ingress.CallerRequestDecoder;
import io.zinniawood.ingress.ConnectionMemory;
import io.zinniawood.ingress.HeadCost;
import java.io.IOException;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * Output of a caller's connection: writes the parts of its answers, and counts what the connection
 * holds.
 */
abstract class CallerAnswerWriter extends ChannelInboundHandlerAdapter
    implements CallerRequestDecoder.Input, ConnectionMemory.Owner {
  final CallerListener listener;
  final PipelinedMessages pipelined = new PipelinedMessages();
  final ConnectionMemory memory;
  ChannelHandlerContext context;
  CallerExchange exchange;
  boolean keepAlive;
  boolean closing;

  /** Whether input behind the request in progress was dropped and what follows is discarded. */
  boolean inputDropped;

  private Optional<CallerRequestDecoder> decoder = Optional.empty();

  CallerAnswerWriter(CallerListener listener) {
    this.listener = listener;
    this.memory = listener.connectionMemory().open(this);
  }

  /** Sets the decoder of the connection, which drops what it holds when input is discarded. */
  void decodedBy(CallerRequestDecoder added) {
    decoder = Optional.of(added);
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    memory.connected();
    active.fireChannelActive();
  }

  /** Returns whether the connection closes once the answer is written. */
  abstract boolean closesAfterAnswer();

  /** Ends the exchange whose answer was written completely. */
  abstract void finishExchange();

  /** Sets the current exchange; must precede its first event, which may already answer it. */
  void beginExchange(CallerExchange opened) {
    exchange = opened;
  }

  /** Writes an answer that the relay generated. */
  public void writeLocalAnswer(LocalAnswer answer) {
    FullHttpResponse response = CallerAnswers.local(answer);
    setCloseHeader(response);
    write(response);
    finishExchange();
  }

  /**
   * Writes part of an answer.
   *
   * @throws EncoderException if the part could not be encoded; what follows it must not be written
   */
  void write(HttpObject part) {
    ChannelFuture written = context.write(part);
    Throwable cause = written.cause();
    if (cause != null && !(cause instanceof IOException)) {
      throw new EncoderException(cause);
    }
    if (part instanceof HttpResponse && !written.isDone()) {
      memory.add(ConnectionMemory.Part.ANSWERS, HeadCost.ANSWER_BYTES);
      written.addListener(
          sent -> memory.add(ConnectionMemory.Part.ANSWERS, -HeadCost.ANSWER_BYTES));
    }
  }

  /** Writes an endpoint's complete answer and takes ownership of its content. */
  public void writeFullAnswer(HttpResponse upstream, ByteBuf content) {
    FullHttpResponse response = CallerAnswers.full(exchange.head(), upstream, content);
    setCloseHeader(response);
    write(response);
    finishExchange();
  }

  /** Writes the head of an endpoint's event stream. */
  public void beginStream(HttpResponse upstream) {
    HttpResponse response = CallerAnswers.streamHead(upstream);
    setCloseHeader(response);
    write(response);
  }

  /** Writes bytes of a stream without flushing them. */
  public void writeStream(ByteBuf bytes) {
    write(new DefaultHttpContent(bytes));
  }

  /** Flushes the bytes written by {@link #writeStream}. */
  public void flush() {
    context.flush();
  }

  /** Completes a stream. */
  public void endStream() {
    write(LastHttpContent.EMPTY_LAST_CONTENT);
    finishExchange();
  }

  /** Returns whether the outbound buffer has room for more bytes. */
  public boolean writable() {
    return context.channel().isWritable();
  }

  /** Returns the number of bytes that are written but not yet sent. */
  public long unsentBytes() {
    return context.channel().unsafe().outboundBuffer() == null
        ? 0
        : context.channel().unsafe().outboundBuffer().totalPendingWriteBytes();
  }

  private void setCloseHeader(HttpResponse response) {
    if (closesAfterAnswer()) {
      keepAlive = false;
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public boolean discarded() {
    return closing || inputDropped;
  }

  @Override
  public void decoderHolds(long bytes) {
    memory.set(ConnectionMemory.Part.DECODER, bytes);
  }

  @Override
  public Set<ConnectionMemory.Part> releasableParts() {
    if (closing) {
      return Set.of();
    }
    return exchange == null
        ? EnumSet.allOf(ConnectionMemory.Part.class)
        : EnumSet.of(ConnectionMemory.Part.DECODER, ConnectionMemory.Part.QUEUE);
  }

  @Override
  public boolean idle() {
    return exchange == null && !closing && unsentBytes() == 0;
  }

  @Override
  public long untakenBytes() {
    return exchange == null && !writable() ? unsentBytes() : 0;
  }

  /** Releases what is queued and what the decoder holds; nothing of it has run. */
  final void dropInput() {
    pipelined.release();
    memory.set(ConnectionMemory.Part.QUEUE, 0);
    context.channel().config().setAutoRead(true);
    decoder.ifPresent(
        dropping -> {
          try {
            dropping.drop(context);
          } catch (Exception failure) {
            context.close();
          }
        });
  }
}
