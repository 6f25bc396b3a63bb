package io.zinniawood.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import io.zinniawood.core.frame.ForeignHead;
import io.zinniawood.core.frame.ForeignHeadScanner;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.ingress.AccountedBytes;
import io.zinniawood.ingress.MemoryAccount;
import io.zinniawood.relay.internal.ConnectionEnd;
import io.zinniawood.relay.internal.ResponseDecoder;
import io.zinniawood.relay.internal.ResponseHeads;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP client of control calls to the store and the endpoints. Sends each call at most once. A call
 * that times out closes its connection, as the connection may be dead without having been reset.
 */
public final class ControlClient {
  /** Connect timeout; the platform's networks connect within a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** Maximum number of idle pooled connections per address. */
  private static final int MAX_POOLED_PER_ADDRESS = 4;

  private static final String JSON_CONTENT_TYPE = "application/json";

  private final EventLoop loop;
  private final FailureLog failures;
  private final MemoryAccount memory;
  private final Map<NodeAddress, Deque<Channel>> pool = new HashMap<>();

  /**
   * Creates a client that must be called on the event loop and calls receivers on it.
   *
   * @param memory memory of all responses until they are complete
   * @param failures receives the failures of receivers
   */
  public ControlClient(EventLoop loop, MemoryAccount memory, FailureLog failures) {
    this.loop = loop;
    this.memory = memory;
    this.failures = failures;
  }

  /**
   * Sends a call on a pooled or a new connection.
   *
   * @param address address of the server
   * @param method HTTP method
   * @param uri path and query
   * @param headers headers in addition to host, content type and content length
   * @param body JSON body; empty for none
   * @param timeoutMillis timeout in milliseconds, including the time to connect
   * @param receiver called once with the response or the failure, on the event loop; called with a
   *     failure if it throws on the response
   */
  public void call(
      NodeAddress address,
      HttpMethod method,
      String uri,
      Map<String, String> headers,
      byte[] body,
      long timeoutMillis,
      Consumer<Either<ControlFailure, ControlResponse>> receiver) {
    call(address, method, uri, headers, body, timeoutMillis, head -> {}, receiver);
  }

  /**
   * Sends a call as above.
   *
   * @param headReceiver called with the head of the response as soon as it is received
   */
  public void call(
      NodeAddress address,
      HttpMethod method,
      String uri,
      Map<String, String> headers,
      byte[] body,
      long timeoutMillis,
      Consumer<HttpResponse> headReceiver,
      Consumer<Either<ControlFailure, ControlResponse>> receiver) {
    Call call =
        new Call(
            address,
            buildRequest(address, method, uri, headers, body),
            timeoutMillis,
            headReceiver,
            receiver);
    Channel channel = takePooled(address);
    if (channel != null) {
      call.send(channel);
      return;
    }
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new Initializer(address));
    ChannelFuture connected = bootstrap.connect(address.host(), address.port());
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            call.sendContained(connected.channel());
          } else {
            call.fail(ControlFailure.NOT_SENT);
          }
        });
  }

  private static FullHttpRequest buildRequest(
      NodeAddress address,
      HttpMethod method,
      String uri,
      Map<String, String> headers,
      byte[] body) {
    ByteBuf content = Unpooled.wrappedBuffer(body);
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, content);
    request.headers().set(HttpHeaderNames.HOST, address.toString());
    headers.forEach(request.headers()::set);
    if (body.length > 0) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, JSON_CONTENT_TYPE);
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    return request;
  }

  /** Closes the pooled connections to an address, for the case that they are dead. */
  public void closePooled(NodeAddress address) {
    Deque<Channel> channels = pool.remove(address);
    if (channels != null) {
      channels.forEach(Channel::close);
    }
  }

  private Channel takePooled(NodeAddress address) {
    Deque<Channel> channels = pool.get(address);
    while (channels != null && !channels.isEmpty()) {
      Channel channel = channels.pollLast();
      if (channel.isActive()) {
        return channel;
      }
    }
    return null;
  }

  private void returnToPool(NodeAddress address, Channel channel) {
    Deque<Channel> channels = pool.computeIfAbsent(address, key -> new ArrayDeque<>());
    if (channel.isActive() && channels.size() < MAX_POOLED_PER_ADDRESS) {
      channels.addLast(channel);
    } else {
      channel.close();
    }
  }

  private void removeFromPool(NodeAddress address, Channel channel) {
    Deque<Channel> channels = pool.get(address);
    if (channels != null) {
      channels.remove(channel);
      if (channels.isEmpty()) {
        pool.remove(address);
      }
    }
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    private final NodeAddress address;

    Initializer(NodeAddress address) {
      this.address = address;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(new ConnectionEnd())
          .addLast(new HttpRequestEncoder())
          .addLast(new ResponseDecoder())
          .addLast(new ResponseHandler(address));
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final NodeAddress address;
    private Call call;
    private HttpResponse head;
    private AccountedBytes body;

    /** Whole response that waits for the end of the read; null if there is none. */
    private ControlResponse whole;

    private boolean reusable;

    ResponseHandler(NodeAddress address) {
      this.address = address;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (call == null || (whole == null && message.decoderResult().isFailure())) {
        context.close();
        return;
      }
      if (whole != null) {
        receiveSurplus(context, message);
        return;
      }
      if (message instanceof HttpResponse response) {
        if (!ResponseHeads.isWellFormed(response)) {
          failCall(context);
          return;
        }
        // An endpoint states facts about itself in any head, so each one is delivered.
        call.headReceived(response);
        beginResponse(context, response);
      }
      if (message instanceof HttpContent content && head != null) {
        if (!body.append(content.content())) {
          abandon(context);
        } else if (content instanceof LastHttpContent) {
          complete(context);
        }
      }
    }

    private void beginResponse(ChannelHandlerContext context, HttpResponse response) {
      if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        head = response;
        body = new AccountedBytes(memory, () -> abandon(context));
      }
    }

    private void abandon(ChannelHandlerContext context) {
      // The close ends a body without a length, which must not count as complete.
      head = null;
      context.close();
    }

    private void complete(ChannelHandlerContext context) {
      if (ConnectionEnd.of(context.channel()) == ConnectionEnd.State.LOST) {
        abandon(context);
        return;
      }
      whole = new ControlResponse(head.status().code(), head.headers(), takeBody());
      reusable = HttpUtil.isKeepAlive(head);
      head = null;
      byte[] bytes = whole.body();
      if (ForeignHeadScanner.holdsStatusLine(index -> bytes[index], bytes.length)) {
        failCall(context);
      }
    }

    /** Ends a call without a response; what else arrives on the connection is ignored. */
    private void failCall(ChannelHandlerContext context) {
      Call lost = call;
      call = null;
      whole = null;
      head = null;
      context.close();
      lost.fail(ControlFailure.OUTCOME_UNKNOWN);
    }

    /** Ends a call whose response is followed by more, which may be the rest of a head. */
    private void receiveSurplus(ChannelHandlerContext context, HttpObject message) {
      reusable = false;
      byte[] bytes = whole.body();
      boolean endsWithinHead =
          ForeignHeadScanner.scan(index -> bytes[index], bytes.length, List.of())
              == ForeignHead.POSSIBLE;
      if (endsWithinHead && !ResponseHeads.isWellFormed(message)) {
        failCall(context);
      } else {
        deliver(context);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (whole != null) {
        deliver(context);
      } else if (call == null && ResponseDecoder.holdsBytes(context.channel())) {
        context.close();
      }
    }

    /** Delivers a whole response once its connection is pooled or closed. */
    private void deliver(ChannelHandlerContext context) {
      ControlResponse response = whole;
      Call answered = call;
      whole = null;
      call = null;
      if (reusable
          && ConnectionEnd.of(context.channel()) == ConnectionEnd.State.OPEN
          && !ResponseDecoder.holdsBytes(context.channel())) {
        returnToPool(address, context.channel());
      } else {
        context.close();
      }
      if (answered != null) {
        answered.succeed(response);
      }
    }

    private byte[] takeBody() {
      ByteBuf bytes = body.take();
      try {
        return ByteBufUtil.getBytes(bytes);
      } finally {
        bytes.release();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      removeFromPool(address, context.channel());
      if (body != null) {
        body.release();
      }
      if (whole != null) {
        deliver(context);
      } else if (call != null) {
        Call lost = call;
        call = null;
        lost.fail(ControlFailure.OUTCOME_UNKNOWN);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The call fails in channelInactive, which follows the close, or by its timeout.
      if (!(cause instanceof IOException)) {
        failures.failed("connection-failed", "control-call", cause);
      }
      context.close();
    }
  }

  /** One call; its receiver is called exactly once. */
  private final class Call {
    private final NodeAddress address;
    private final FullHttpRequest request;
    private final Consumer<HttpResponse> headReceiver;
    private final Consumer<Either<ControlFailure, ControlResponse>> receiver;
    private final ScheduledFuture<?> timeout;
    private Channel channel;
    private boolean completed;

    Call(
        NodeAddress address,
        FullHttpRequest request,
        long timeoutMillis,
        Consumer<HttpResponse> headReceiver,
        Consumer<Either<ControlFailure, ControlResponse>> receiver) {
      this.address = address;
      this.headReceiver = headReceiver;
      this.request = request;
      this.receiver = receiver;
      this.timeout = loop.schedule(this::handleTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Sends the call after the connect; Netty drops what a listener of a future throws. */
    void sendContained(Channel opened) {
      try {
        send(opened);
      } catch (RuntimeException | Error failure) {
        failures.failed("callback-failed", "control-call", failure);
        opened.close();
        fail(ControlFailure.OUTCOME_UNKNOWN);
      }
    }

    void headReceived(HttpResponse head) {
      try {
        headReceiver.accept(head);
      } catch (RuntimeException | Error failure) {
        failures.failed("callback-failed", "control-head", failure);
      }
    }

    void send(Channel opened) {
      if (completed) {
        returnToPool(address, opened);
        return;
      }
      channel = opened;
      opened.pipeline().get(ResponseHandler.class).call = this;
      opened.writeAndFlush(request);
    }

    private void handleTimeout() {
      if (channel == null) {
        fail(ControlFailure.NOT_SENT);
        return;
      }
      ResponseHandler handler = channel.pipeline().get(ResponseHandler.class);
      if (handler != null) {
        handler.call = null;
      }
      channel.close();
      fail(ControlFailure.OUTCOME_UNKNOWN);
    }

    void succeed(ControlResponse response) {
      complete(Either.right(response));
    }

    void fail(ControlFailure failure) {
      complete(Either.left(failure));
    }

    private void complete(Either<ControlFailure, ControlResponse> result) {
      if (!completed) {
        completed = true;
        timeout.cancel(false);
        deliver(result);
      }
    }

    /** Delivers a result; what waits for the call must not wait for good if its receiver fails. */
    private void deliver(Either<ControlFailure, ControlResponse> result) {
      try {
        receiver.accept(result);
      } catch (RuntimeException | Error failure) {
        failures.failed("callback-failed", "control-response", failure);
        if (result.isRight()) {
          deliver(Either.left(ControlFailure.OUTCOME_UNKNOWN));
        }
      }
    }
  }
}
