package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.zinniawood.core.frame.ForeignHead;
import io.zinniawood.core.frame.ForeignHeadScanner;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.relay.AnswerEvidence;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.ingress.AccountedBytes;
import io.zinniawood.ingress.MemoryAccount;
import io.zinniawood.ingress.TransferCodings;
import io.zinniawood.relay.AnsweredRequest;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Connection to one endpoint; carries one request at a time. Skips answers that carry the id of
 * another request, and closes the connection if it receives data while no request is open.
 */
final class EndpointHandler extends ChannelInboundHandlerAdapter {
  private static final String EVENT_STREAM = "text/event-stream";

  /** Maximum number of informational answers and answers to other requests before the answer. */
  private static final int MAX_SKIPPED_ANSWERS = 64;

  /** Number of requests on a connection whose answers may still be repeated late. */
  private static final int MAX_EARLIER_REQUESTS = 16;

  private final EndpointListener listener;
  private final EndpointConnectionPool connections;
  private final MemoryAccount memory;
  private EndpointExchange exchange;

  /** Last request on this connection; answers that arrive without a request are its endpoint's. */
  private EndpointExchange lastExchange;

  /** Attempt whose answer is held back until it is known what follows it; null if there is none. */
  private EndpointExchange heldBack;

  private boolean surplusReported;

  /** Whether more bytes had arrived when the last answer was complete. */
  private boolean bytesBehindAnswer;

  /** Ids of the last requests on this connection. */
  private final Deque<RequestId> carriedRequests = new ArrayDeque<>();

  /** Whether the connection carried a request before the present one. */
  private boolean carriedEarlierRequest;

  private boolean used;
  private HttpResponse head;
  private AccountedBytes content;
  private boolean skipping;
  private int skippedAnswers;
  private long skippedBytes;
  private boolean streaming;
  private boolean reusable;

  EndpointHandler(
      EndpointListener listener, EndpointConnectionPool connections, MemoryAccount memory) {
    this.listener = listener;
    this.connections = connections;
    this.memory = memory;
  }

  /**
   * Returns whether a recent request on this connection had the same id. The endpoint may repeat
   * its answer to that one, which could not be told from the answer to this one.
   */
  boolean hasCarried(CallerRequest request) {
    return request.id().filter(carriedRequests::contains).isPresent();
  }

  /** Records that a request is sent on this connection. */
  void requestSent(CallerRequest request) {
    request.id().ifPresent(carriedRequests::addLast);
    if (carriedRequests.size() > MAX_EARLIER_REQUESTS) {
      carriedRequests.removeFirst();
    }
  }

  /** Assigns the connection to an attempt. */
  void beginExchange(EndpointExchange begun) {
    carriedEarlierRequest = used;
    used = true;
    exchange = begun;
    lastExchange = begun;
    head = null;
    skipping = false;
    skippedAnswers = 0;
    skippedBytes = 0;
    streaming = false;
  }

  /** Cancels the attempt; the endpoint stops running it when the connection is closed. */
  void cancel(ChannelHandlerContext context) {
    exchange = null;
    heldBack = null;
    dropContent();
    context.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpResponse response
          && response.decoderResult().isSuccess()
          && lastExchange != null) {
        listener.headReceived(lastExchange, response);
      }
      if (exchange == null) {
        receiveSurplus(context, message);
        return;
      }
      if (message instanceof HttpResponse response) {
        handleHead(context, response);
      }
      if (message instanceof HttpContent part && exchange != null) {
        handleContent(context, part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** Closes the connection, as what follows a complete answer belongs to no request. */
  private void receiveSurplus(ChannelHandlerContext context, Object message) {
    boolean answer = ResponseHeads.isWellFormed(message);
    reportSurplus(answer);
    EndpointExchange doubted = heldBack;
    heldBack = null;
    context.close();
    if (doubted == null) {
      return;
    }
    if (answer) {
      doubted.takeUnconfirmed().ifPresent(held -> held.take().run());
    } else {
      listener.attemptFailed(doubted, AttemptFailureCause.FOREIGN_HEAD);
    }
  }

  private void reportSurplus(boolean answer) {
    if (lastExchange != null && !surplusReported) {
      surplusReported = true;
      listener.surplusReceived(lastExchange, answer);
    }
  }

  private void handleHead(ChannelHandlerContext context, HttpResponse response) {
    if (!ResponseHeads.isWellFormed(response)
        || TransferCodings.hasOtherThanChunked(response.headers())) {
      boolean closed = response.decoderResult().cause() instanceof PrematureChannelClosureException;
      fail(
          context,
          closed ? AttemptFailureCause.CONNECTION_LOST : AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    AnsweredRequest answered = listener.answeredRequest(exchange, response);
    skipping =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            || answered == AnsweredRequest.OTHER;
    if (skipping) {
      countSkipped(context, 1, 0);
      return;
    }
    // It may be an answer to an earlier request once more, so it proves nothing about this one.
    if (answered == AnsweredRequest.AMBIGUOUS
        || (answered == AnsweredRequest.UNIDENTIFIED && carriedEarlierRequest)) {
      fail(context, AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    head = response;
    boolean framed =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    boolean headRequest = HeadAnswerDecoder.decodes(context.channel());
    reusable = framed && HttpUtil.isKeepAlive(response) && !headRequest;
    streaming =
        exchange.options().streaming()
            && !headRequest
            && response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (streaming && !EVENT_STREAM.equalsIgnoreCase(mediaType(response))) {
      fail(context, AttemptFailureCause.INVALID_ANSWER);
    } else if (streaming) {
      exchange.streamHead(response);
      exchange.repeatableIds(repeatableIds());
      listener.streamStarted(exchange, response);
    } else {
      content = new AccountedBytes(memory, () -> fail(context, AttemptFailureCause.INVALID_ANSWER));
    }
  }

  private static String mediaType(HttpResponse response) {
    CharSequence type = HttpUtil.getMimeType(response);
    return type == null ? "" : type.toString().trim();
  }

  private void countSkipped(ChannelHandlerContext context, int answers, int bytes) {
    skippedAnswers += answers;
    skippedBytes += bytes;
    if (skippedAnswers > MAX_SKIPPED_ANSWERS || skippedBytes > memory.maxBufferBytes()) {
      fail(context, AttemptFailureCause.INVALID_ANSWER);
    }
  }

  private void handleContent(ChannelHandlerContext context, HttpContent part) {
    boolean last = part instanceof LastHttpContent;
    if (part.decoderResult().isFailure()) {
      fail(context, AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    if (skipping) {
      skipping = !last;
      countSkipped(context, 0, part.content().readableBytes());
      return;
    }
    if (head == null) {
      return;
    }
    if (streaming) {
      listener.streamContentReceived(exchange, part.content());
    } else if (!content.append(part.content())) {
      fail(context, AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    if (last && exchange != null) {
      complete(context);
    }
  }

  private void complete(ChannelHandlerContext context) {
    EndpointExchange complete = exchange;
    HttpResponse answered = head;
    ConnectionEnd.State connection = ConnectionEnd.of(context.channel());
    if (connection == ConnectionEnd.State.LOST) {
      fail(context, AttemptFailureCause.CONNECTION_LOST);
      return;
    }
    AnswerEvidence.End end =
        HeadAnswerDecoder.decodes(context.channel())
            ? AnswerEvidence.End.STATUS
            : endOf(answered, connection);
    boolean mayBeCut = end == AnswerEvidence.End.LAST_CHUNK || end == AnswerEvidence.End.CONNECTION;
    if (mayBeCut
        && answered.status().codeClass() == HttpStatusClass.SUCCESS
        && complete.timeLimitReached()) {
      fail(context, AttemptFailureCause.TIME_LIMIT);
      return;
    }
    ByteBuf whole = content == null ? Unpooled.EMPTY_BUFFER : content.take();
    content = null;
    ForeignHead foreignHead = foreignHeadIn(whole);
    complete.evidence(
        new AnswerEvidence(
            end, skippedAnswers, carriedEarlierRequest, foreignHead, complete.millisLeft()));
    exchange = null;
    head = null;
    if (foreignHead == ForeignHead.POSSIBLE && end != AnswerEvidence.End.CONNECTION) {
      holdBack(context, complete, answered, whole);
      return;
    }
    bytesBehindAnswer = ResponseDecoder.holdsBytes(context.channel());
    deliverContained(
        context,
        complete,
        () -> {
          connections.release(
              complete.address(),
              context.channel(),
              answered,
              reusable && foreignHead == ForeignHead.ABSENT && !bytesBehindAnswer);
          Runnable take =
              streaming
                  ? () -> listener.streamCompleted(complete)
                  : () -> listener.answerReceived(complete, answered, whole);
          if (end == AnswerEvidence.End.CONNECTION) {
            listener.answerEnded(complete, answered, new UnconfirmedAnswer(take, whole::release));
          } else {
            take.run();
          }
        });
  }

  private ForeignHead foreignHeadIn(ByteBuf body) {
    return ForeignHeadScanner.scan(
        index -> body.getByte(body.readerIndex() + index), body.readableBytes(), repeatableIds());
  }

  /** Returns the ids of the requests whose answers may be repeated on this connection. */
  private List<String> repeatableIds() {
    return carriedRequests.stream().map(RequestId::value).toList();
  }

  /** Keeps the connection open, as the rest of a head would follow the answer. */
  private void holdBack(
      ChannelHandlerContext context, EndpointExchange complete, HttpResponse answer, ByteBuf body) {
    heldBack = complete;
    Runnable take =
        () -> {
          heldBack = null;
          context.close();
          deliverContained(
              context, complete, () -> listener.answerReceived(complete, answer, body));
        };
    deliverContained(
        context,
        complete,
        () -> listener.answerInDoubt(complete, new UnconfirmedAnswer(take, body::release)));
  }

  private void deliverContained(
      ChannelHandlerContext context, EndpointExchange complete, Runnable delivery) {
    try {
      delivery.run();
    } catch (RuntimeException | Error failure) {
      listener.failed("connection-failed", "delivery", failure);
      context.close();
      listener.attemptFailed(complete, AttemptFailureCause.INVALID_ANSWER);
    }
  }

  private static AnswerEvidence.End endOf(HttpResponse answer, ConnectionEnd.State connection) {
    if (answer.status().equals(HttpResponseStatus.NO_CONTENT)
        || answer.status().equals(HttpResponseStatus.NOT_MODIFIED)) {
      return AnswerEvidence.End.STATUS;
    }
    if (HttpUtil.isTransferEncodingChunked(answer)) {
      return AnswerEvidence.End.LAST_CHUNK;
    }
    if (HttpUtil.isContentLengthSet(answer)) {
      return AnswerEvidence.End.LENGTH;
    }
    return connection == ConnectionEnd.State.ENDED_BY_PEER
        ? AnswerEvidence.End.CONNECTION
        : AnswerEvidence.End.STATUS;
  }

  private void fail(ChannelHandlerContext context, AttemptFailureCause cause) {
    EndpointExchange lost = exchange;
    exchange = null;
    dropContent();
    context.close();
    if (lost != null) {
      listener.attemptFailed(lost, cause);
    }
  }

  private void dropContent() {
    if (content != null) {
      content.release();
      content = null;
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (exchange != null && streaming) {
      listener.streamReadComplete(exchange);
    }
    // The decoder reports no message before the end of a line.
    if (exchange == null && heldBack == null && ResponseDecoder.holdsBytes(context.channel())) {
      reportSurplus(false);
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connections.removeClosed(context.channel());
    if (bytesBehindAnswer) {
      reportSurplus(false);
    }
    EndpointExchange doubted = heldBack;
    heldBack = null;
    // A peer that has failed may have done so within a head.
    if (doubted != null && ConnectionEnd.of(context.channel()) == ConnectionEnd.State.LOST) {
      listener.attemptFailed(doubted, AttemptFailureCause.CONNECTION_LOST);
    }
    fail(context, AttemptFailureCause.CONNECTION_LOST);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException) {
      fail(context, AttemptFailureCause.CONNECTION_LOST);
    } else {
      // A lost connection would be evidence of a crash of the endpoint.
      listener.failed("connection-failed", "endpoint", cause);
      fail(context, AttemptFailureCause.INVALID_ANSWER);
    }
  }
}
