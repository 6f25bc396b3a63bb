package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.ingress.AccountedBytes;
import io.zinniawood.ingress.ConnectionMemory;
import io.zinniawood.ingress.HeadCost;
import io.zinniawood.ingress.LingeringClose;
import io.zinniawood.ingress.TransferCodings;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Connection of one caller. Serves one request at a time and queues pipelined requests. The {@link
 * RelayRuntime} writes answers through the methods of this class.
 */
public final class CallerHandler extends CallerAnswerWriter {
  /** Time for bytes that have arrived to be read before an idle connection closes. */
  private static final long MIN_IDLE_CLOSE_DELAY_MILLIS = 20;

  /** Time over which the closes of idle connections are spread; the interval of the checks. */
  private static final int IDLE_CLOSE_SPREAD_MILLIS = 500;

  /** Delay of the close of a quiet connection while the process drains; lets input be read. */
  private static final long DRAIN_CLOSE_DELAY_MILLIS = 5;

  private HttpRequest head;
  private AccountedBytes body;

  /** Whether a request was read completely and no exchange has begun for it. */
  private boolean undecided;

  /** Whether a handler failed; what was not decided on by then is refused. */
  private boolean failed;

  private long lastActivityNanos = System.nanoTime();

  /** Idle timeout in force at the last activity; callers reckon with it for the reuse. */
  private long idleTimeoutMillis;

  private boolean idleCloseScheduled;
  private long headStartedNanos;
  private boolean headStarted;

  /** Creates a handler that reports to the given listener. */
  public CallerHandler(CallerListener listener) {
    super(listener);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    this.context = added;
    recordActivity();
  }

  /** Records the arrival of bytes, before they are decoded, for the timeouts. */
  void bytesArrived() {
    if (closing) {
      return;
    }
    recordActivity();
    if (exchange == null && head == null && !headStarted) {
      headStarted = true;
      headStartedNanos = lastActivityNanos;
    }
  }

  /** Closes the connection if its idle timeout or header timeout has expired. */
  public void checkTimeouts(long nowNanos) {
    if (closing) {
      closeUntaken(nowNanos);
      return;
    }
    if (exchange != null || (writable() && !pipelined.isEmpty())) {
      return;
    }
    RequestLimits limits = listener.limits();
    long headNanos = TimeUnit.MILLISECONDS.toNanos(limits.headerTimeoutMillis());
    long idleNanos =
        TimeUnit.MILLISECONDS.toNanos(Math.max(idleTimeoutMillis, limits.idleTimeoutMillis()));
    if (!writable()) {
      if (nowNanos - lastActivityNanos >= idleNanos) {
        close(ConnectionClose.Reason.ANSWER_NOT_TAKEN, "");
      }
    } else if (headStarted && nowNanos - headStartedNanos >= headNanos) {
      rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
    } else if (nowNanos - lastActivityNanos >= idleNanos) {
      if (head == null) {
        // Spread, as a new configuration may end the timeout of many connections together.
        closeUnlessUsed(
            ConnectionClose.Reason.IDLE_TIMEOUT,
            MIN_IDLE_CLOSE_DELAY_MILLIS
                + Math.floorMod(context.channel().id().hashCode(), IDLE_CLOSE_SPREAD_MILLIS));
      } else {
        rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
      }
    }
  }

  /** Closes a connection that waits to close until its caller has taken the last answer. */
  private void closeUntaken(long nowNanos) {
    long idleNanos = TimeUnit.MILLISECONDS.toNanos(idleTimeoutMillis);
    if (unsentBytes() > 0 && nowNanos - lastActivityNanos >= idleNanos) {
      disconnect();
    }
  }

  /** Closes an idle connection after a delay, unless bytes arrive that were not read yet. */
  private void closeUnlessUsed(ConnectionClose.Reason reason, long delayMillis) {
    if (idleCloseScheduled) {
      return;
    }
    idleCloseScheduled = true;
    long idleSinceNanos = lastActivityNanos;
    context
        .executor()
        .schedule(
            () -> {
              idleCloseScheduled = false;
              if (!busy() && !closing && lastActivityNanos == idleSinceNanos) {
                close(reason, "");
              }
            },
            delayMillis,
            TimeUnit.MILLISECONDS);
  }

  private void recordActivity() {
    lastActivityNanos = System.nanoTime();
    idleTimeoutMillis = listener.limits().idleTimeoutMillis();
  }

  private void close(ConnectionClose.Reason reason, String detail) {
    report(reason, detail);
    closing = true;
    context.close();
  }

  private void report(ConnectionClose.Reason reason, String detail) {
    listener.connectionClosed(
        new ConnectionClose(
            reason,
            exchange != null,
            head != null || headStarted,
            pipelined.requests(),
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastActivityNanos),
            detail));
  }

  /**
   * Closes the connection unless a request is in progress or partly received, an answer is not sent
   * yet, or bytes arrived or an answer ended lately.
   *
   * @param quietNanos time without either for the connection to be closed
   */
  public void closeIfQuiet(long nowNanos, long quietNanos) {
    boolean idle = !busy() && !closing && unsentBytes() == 0;
    if (idle && nowNanos - lastActivityNanos >= quietNanos) {
      closeUnlessUsed(ConnectionClose.Reason.DRAINING, DRAIN_CLOSE_DELAY_MILLIS);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext read, Object message) {
    if (discarded()) {
      ReferenceCountUtil.release(message);
    } else if (exchange != null || !pipelined.isEmpty() || !writable()) {
      pipelined.add(message);
      memory.set(ConnectionMemory.Part.QUEUE, pipelined.heldBytes());
      if (pipelined.full()) {
        context.channel().config().setAutoRead(false);
      }
    } else {
      handleMessage(message);
    }
  }

  private void handleMessage(Object message) {
    if (message instanceof HttpRequest request) {
      if (!beginRequest(request)) {
        ReferenceCountUtil.release(message);
        return;
      }
    }
    if (message instanceof HttpContent content) {
      addContent(content);
    }
  }

  private boolean beginRequest(HttpRequest request) {
    headStarted = false;
    if (request.decoderResult().isFailure()
        || TransferCodings.hasOtherThanChunked(request.headers())) {
      Throwable cause = request.decoderResult().cause();
      boolean tooLong =
          cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
      rejectAndClose(
          tooLong
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
      return false;
    }
    if (CallerCodec.headerBytes(request.headers()) > listener.limits().maxHeaderBytes()) {
      rejectAndClose(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
      return false;
    }
    if (HttpUtil.getContentLength(request, 0L) > listener.limits().maxBodyBytes()) {
      rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return false;
    }
    memory.set(ConnectionMemory.Part.REQUEST, HeadCost.of(request));
    if (closing) {
      // Memory is short and this connection held the most.
      return false;
    }
    head = request;
    keepAlive = HttpUtil.isKeepAlive(request);
    body = new AccountedBytes(listener.requestMemory(), this::refuseForMemory);
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(CallerAnswers.proceed());
    }
    return true;
  }

  private void addContent(HttpContent content) {
    try {
      if (head == null) {
        return;
      }
      if (content.decoderResult().isFailure()) {
        rejectAndClose(HttpResponseStatus.BAD_REQUEST);
        return;
      }
      ByteBuf bytes = content.content();
      if (body.readableBytes() + bytes.readableBytes() > listener.limits().maxBodyBytes()) {
        rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
      if (!body.append(bytes)) {
        refuseForMemory();
        return;
      }
    } finally {
      content.release();
    }
    if (content instanceof LastHttpContent) {
      completeRequest();
    }
  }

  private void completeRequest() {
    HttpRequest complete = head;
    ByteBuf whole = body.take();
    head = null;
    body = null;
    undecided = true;
    listener.requestReceived(this, complete, whole);
    undecided = false;
  }

  /** Closes the connection so that the caller does not take a partial answer for complete. */
  public void abort() {
    close(ConnectionClose.Reason.ANSWER_ABORTED, "");
    releaseExchange();
  }

  /** Returns whether a request is in progress or partly received. */
  public boolean busy() {
    return exchange != null || head != null || headStarted || !pipelined.isEmpty();
  }

  @Override
  boolean closesAfterAnswer() {
    return !keepAlive || inputDropped || ((failed || listener.draining()) && pipelined.isEmpty());
  }

  @Override
  void finishExchange() {
    releaseExchange();
    recordActivity();
    // Draining may have started after a stream's head was sent with keep-alive.
    if (closesAfterAnswer()) {
      if (!pipelined.isEmpty()) {
        report(ConnectionClose.Reason.CLOSE_ANNOUNCED, "");
      }
      closing = true;
      var flushed = context.writeAndFlush(Unpooled.EMPTY_BUFFER);
      if (inputDropped) {
        flushed.addListener(written -> LingeringClose.begin(context));
      } else {
        flushed.addListener(ChannelFutureListener.CLOSE);
      }
      return;
    }
    if (failed) {
      refuseUndecided();
      return;
    }
    context.flush();
    context.executor().execute(this::handlePipelined);
  }

  private void handlePipelined() {
    try {
      while (exchange == null && !closing && !pipelined.isEmpty() && writable()) {
        Object message = pipelined.poll();
        memory.set(ConnectionMemory.Part.QUEUE, pipelined.heldBytes());
        handleMessage(message);
      }
    } catch (RuntimeException | Error failure) {
      fail(failure);
      return;
    }
    if (!pipelined.full()) {
      context.channel().config().setAutoRead(true);
    }
  }

  private void releaseExchange() {
    undecided = false;
    if (exchange != null) {
      exchange.body().release();
      exchange = null;
      memory.set(ConnectionMemory.Part.REQUEST, 0);
      memory.requestEnded();
    }
  }

  /** Refuses a request that is partly received, as the process is to stop; it has not run. */
  public void refuseUnfinished() {
    if (exchange == null && !closing && busy()) {
      rejectAndClose(CallerAnswers.draining());
    }
  }

  /** Refuses a request that was not read completely, so it has not run. */
  private void refuseForMemory() {
    rejectAndClose(CallerAnswers.memoryShort());
  }

  private void rejectAndClose(HttpResponseStatus status) {
    rejectAndClose(CallerAnswers.early(status));
  }

  private void rejectAndClose(FullHttpResponse response) {
    report(ConnectionClose.Reason.REFUSED_EARLY, String.valueOf(response.status().code()));
    closing = true;
    dropPartialRequest();
    dropInput();
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(written -> LingeringClose.begin(context));
  }

  private void dropPartialRequest() {
    head = null;
    if (body != null) {
      body.release();
      body = null;
    }
    if (exchange == null) {
      memory.set(ConnectionMemory.Part.REQUEST, 0);
    }
  }

  @Override
  public void framingExceeded() {
    refuseInput("framing", () -> CallerAnswers.early(HttpResponseStatus.BAD_REQUEST));
  }

  @Override
  public void pipelineExceeded() {
    refuseInput("memory-short", CallerAnswers::memoryShort);
  }

  @Override
  public void disconnect() {
    close(ConnectionClose.Reason.ANSWER_NOT_TAKEN, "unsentBytes " + unsentBytes());
  }

  @Override
  public void closeIdle() {
    close(ConnectionClose.Reason.CONNECTION_LIMIT, "");
  }

  @Override
  public void giveWay() {
    refuseInput("memory-short", CallerAnswers::memoryShort);
  }

  /**
   * Refuses the request that is read, or the queued ones: at once if none is in progress, and by
   * the close after the answer otherwise.
   */
  private void refuseInput(String detail, Supplier<FullHttpResponse> refusal) {
    if (discarded()) {
      return;
    }
    if (exchange != null) {
      report(ConnectionClose.Reason.CLOSE_ANNOUNCED, detail);
      inputDropped = true;
      dropInput();
    } else if (!writable()) {
      disconnect();
    } else {
      rejectAndClose(refusal.get());
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    if (exchange != null) {
      listener.writabilityChanged(exchange.id(), writable());
    } else if (writable()) {
      changed.executor().execute(this::handlePipelined);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    if (!closing && !pipelined.isEmpty()) {
      report(ConnectionClose.Reason.CALLER_LEFT_QUEUE, "");
    }
    closing = true;
    dropPartialRequest();
    pipelined.release();
    memory.close();
    if (exchange != null) {
      CallerExchange abandoned = exchange;
      releaseExchange();
      listener.callerDisconnected(abandoned.id());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
    if (cause instanceof IOException) {
      // The caller reset the connection; channelInactive follows and ends its request.
      caught.close();
    } else {
      fail(cause);
    }
  }

  /**
   * Closes the connection after the failure of a handler. The request in progress is answered
   * first; requests that are queued or partly read are refused.
   */
  public void fail(Throwable cause) {
    if (closing || failed) {
      return;
    }
    failed = true;
    report(ConnectionClose.Reason.HANDLER_FAILED, cause.toString());
    if (exchange == null) {
      refuseUndecided();
    } else if (undecided || cause instanceof OutOfMemoryError) {
      // Netty closes a connection for which it has no memory to read.
      listener.requestFailed(exchange.id());
    }
  }

  /** Refuses each request that was read and not decided on, and closes the connection. */
  private void refuseUndecided() {
    closing = true;
    boolean begun = undecided || head != null || headStarted;
    int refusals = pipelined.requests() + (begun ? 1 : 0);
    dropPartialRequest();
    pipelined.release();
    CallerAnswers.internalFailures(refusals).forEach(context::write);
    context
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(flushed -> LingeringClose.begin(context));
  }
}
