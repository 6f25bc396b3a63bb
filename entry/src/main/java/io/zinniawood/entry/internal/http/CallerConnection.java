package io.zinniawood.entry.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.ingress.AccountedBytes;
import io.zinniawood.ingress.CallerRequestDecoder;
import io.zinniawood.ingress.ConnectionMemory;
import io.zinniawood.ingress.ConnectionMemory.Part;
import io.zinniawood.ingress.HeadCost;
import io.zinniawood.ingress.LingeringClose;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Set;
import java.util.function.Function;

/**
 * Connection of a caller, between the HTTP decoder and Jooby. Passes on complete requests only, and
 * counts what the connection holds. If memory is short, it refuses the request that is received.
 */
final class CallerConnection extends ChannelDuplexHandler implements CallerRequestDecoder.Input {
  private static final long MEMORY_RETRY_MILLIS = 1_000;

  /** Copies of a body while its request is in progress: received, parsed, and as a message. */
  private static final int BODY_COPIES = 3;

  private final CallerConnections.Shares shares;
  private final int maxBodyBytes;
  private final Queue<HttpMethod> unanswered;
  private final Function<Problem, FullHttpResponse> refusals;
  private final ConnectionMemory requestMemory;
  private final ConnectionMemory answerMemory;

  /** Memory of each request that was passed on and is not answered completely. */
  private final Queue<Long> requestsInProgress = new ArrayDeque<>();

  private CallerRequestDecoder decoder;
  private ChannelHandlerContext context;
  private HttpRequest head;
  private AccountedBytes body;
  private boolean closing;

  /**
   * Creates the handler of one connection.
   *
   * @param unanswered methods of the decoded requests, shared with the decoder
   */
  CallerConnection(
      CallerConnections.Shares shares,
      int maxBodyBytes,
      Queue<HttpMethod> unanswered,
      Function<Problem, FullHttpResponse> refusals) {
    this.shares = shares;
    this.maxBodyBytes = maxBodyBytes;
    this.unanswered = unanswered;
    this.refusals = refusals;
    this.requestMemory = shares.requests().open(new RequestOwner());
    this.answerMemory = shares.answers().open(new AnswerOwner());
  }

  /** Sets the decoder of the connection, which drops what it holds when a request is refused. */
  void decodedBy(CallerRequestDecoder added) {
    decoder = added;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    requestMemory.connected();
    active.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext read, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest request) {
      beginRequest(request);
    }
    if (message instanceof HttpContent content) {
      addContent(content);
    } else {
      ReferenceCountUtil.release(message);
    }
  }

  private void beginRequest(HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      refuse(badRequest("the request line or a header is malformed or too large"));
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
      refuse(tooLarge());
      return;
    }
    head = request;
    body = new AccountedBytes(shares.bodies(), this::refuseForMemory);
    requestMemory.add(Part.REQUEST, HeadCost.of(request));
  }

  private void addContent(HttpContent content) {
    try {
      if (closing || head == null) {
        return;
      }
      if (content.decoderResult().isFailure()) {
        refuse(badRequest("the request body is malformed"));
        return;
      }
      if (body.readableBytes() + content.content().readableBytes() > maxBodyBytes) {
        refuse(tooLarge());
        return;
      }
      if (!body.append(content.content())) {
        refuseForMemory();
        return;
      }
    } finally {
      content.release();
    }
    if (content instanceof LastHttpContent) {
      passOn();
    }
  }

  private void passOn() {
    ByteBuf received = body.take();
    byte[] bytes = ByteBufUtil.getBytes(received);
    received.release();
    long bodyBytes = (long) bytes.length * BODY_COPIES;
    requestMemory.add(Part.REQUEST, bodyBytes);
    if (closing) {
      return;
    }
    HttpRequest request = head;
    head = null;
    requestsInProgress.add(HeadCost.of(request) + bodyBytes);
    context.fireChannelRead(request);
    context.fireChannelRead(new DefaultLastHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  @Override
  public void write(ChannelHandlerContext written, Object message, ChannelPromise promise) {
    long bytes = 0;
    if (message instanceof HttpResponse response
        && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
      unanswered.poll();
      bytes += HeadCost.ANSWER_BYTES;
    }
    if (message instanceof HttpContent content) {
      bytes += content.content().readableBytes();
    }
    countUntilSent(bytes, promise.unvoid(), message);
    if (message instanceof LastHttpContent && !requestsInProgress.isEmpty()) {
      requestMemory.add(Part.REQUEST, -requestsInProgress.remove());
      requestMemory.requestEnded();
    }
  }

  private void countUntilSent(long bytes, ChannelPromise promise, Object message) {
    ChannelFuture unused = context.write(message, promise);
    if (!promise.isDone()) {
      answerMemory.add(Part.ANSWERS, bytes);
      ChannelPromise unusedToo =
          promise.addListener(sent -> answerMemory.add(Part.ANSWERS, -bytes));
    }
  }

  /** Pauses reading while the caller does not take its answers. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    changed.channel().config().setAutoRead(closing || changed.channel().isWritable());
    changed.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    closing = true;
    dropRequest();
    requestMemory.close();
    answerMemory.close();
    inactive.fireChannelInactive();
  }

  @Override
  public boolean discarded() {
    return closing;
  }

  @Override
  public void decoderHolds(long bytes) {
    requestMemory.set(Part.DECODER, bytes);
  }

  @Override
  public void framingExceeded() {
    refuse(badRequest("the request has too many empty lines, chunk extensions or trailers"));
  }

  @Override
  public void pipelineExceeded() {
    refuseForMemory();
  }

  private void refuseForMemory() {
    refuse(
        Problem.notRunRetry(
            ProblemType.OVERLOADED, "the entry is short of memory", MEMORY_RETRY_MILLIS));
  }

  /** Refuses the request that is received, and closes the connection once that is written. */
  private void refuse(Problem problem) {
    if (closing) {
      return;
    }
    if (!requestsInProgress.isEmpty()) {
      // A refusal would be taken for the answer to the request in progress.
      disconnect();
      return;
    }
    closing = true;
    dropRequest();
    requestMemory.set(Part.REQUEST, 0);
    dropInput();
    context.channel().config().setAutoRead(true);
    ChannelFuture unused =
        context
            .writeAndFlush(refusals.apply(problem))
            .addListener(sent -> LingeringClose.begin(context));
  }

  private void dropInput() {
    try {
      decoder.drop(context);
    } catch (Exception failure) {
      ChannelFuture unused = context.close();
    }
  }

  /** Closes the connection, which releases all that it holds. */
  private void disconnect() {
    closing = true;
    ChannelFuture unused = context.close();
    requestMemory.close();
    answerMemory.close();
  }

  private void dropRequest() {
    head = null;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private static Problem badRequest(String detail) {
    return Problem.notRun(ProblemType.BAD_REQUEST, detail);
  }

  private static Problem tooLarge() {
    return Problem.notRun(ProblemType.TOO_LARGE, "the request body exceeds the size limit");
  }

  /** What the two accounts of the connection have in common. */
  private abstract class Owner implements ConnectionMemory.Owner {
    @Override
    public long untakenBytes() {
      return 0;
    }

    @Override
    public boolean idle() {
      return !closing && requestsInProgress.isEmpty() && answerMemory.heldBytes() == 0;
    }

    @Override
    public void closeIdle() {
      disconnect();
    }

    @Override
    public void disconnect() {
      CallerConnection.this.disconnect();
    }
  }

  /** Gives way with the request that is received; a request in progress may have run. */
  private final class RequestOwner extends Owner {
    @Override
    public Set<Part> releasableParts() {
      if (closing) {
        return Set.of();
      }
      return requestsInProgress.isEmpty()
          ? Set.of(Part.DECODER, Part.REQUEST)
          : Set.of(Part.DECODER);
    }

    @Override
    public void giveWay() {
      refuseForMemory();
    }
  }

  /** Gives way by a close, as only the end of the connection releases unsent answers. */
  private final class AnswerOwner extends Owner {
    @Override
    public Set<Part> releasableParts() {
      return closing ? Set.of() : Set.of(Part.ANSWERS);
    }

    @Override
    public void giveWay() {
      disconnect();
    }
  }
}
