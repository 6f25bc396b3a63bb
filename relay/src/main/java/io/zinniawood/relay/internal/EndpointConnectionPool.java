package io.zinniawood.relay.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.AttributeKey;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.SendOptions;
import io.zinniawood.ingress.MemoryAccount;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Opens and pools connections to endpoints, and sends attempts on them. */
public final class EndpointConnectionPool {
  /** Connect timeout; connecting to a machine that is switched off gets no reply at all. */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** Idle time after which a connection is not reused if the endpoint states no timeout. */
  private static final long DEFAULT_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /** Margin before the endpoint's own idle timeout in which a connection is not reused. */
  private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Maximum number of idle pooled connections per endpoint. */
  private static final int MAX_POOLED_PER_ENDPOINT = 48;

  private static final AttributeKey<PoolEntry> POOL_ENTRY = AttributeKey.valueOf("zinniawood.kept");

  private final EventLoop loop;
  private final EndpointListener listener;
  private final MemoryAccount memory;
  private final Map<NodeAddress, Deque<Channel>> pool = new HashMap<>();

  /** Address of a pooled connection and the {@link System#nanoTime} until which it is reusable. */
  private record PoolEntry(NodeAddress address, long reusableUntilNanos) {}

  /**
   * Creates an empty pool whose connections run on the event loop.
   *
   * @param memory memory of the answers that are buffered until they are complete
   */
  public EndpointConnectionPool(EventLoop loop, MemoryAccount memory, EndpointListener listener) {
    this.loop = loop;
    this.memory = memory;
    this.listener = listener;
  }

  /**
   * Sends a request on a pooled connection, if the options allow it, or on a new one. A HEAD
   * request has a connection of its own, as its answer is framed like no other.
   */
  public void send(EndpointExchange exchange, HttpRequest head) {
    boolean headRequest = HttpMethod.HEAD.equals(head.method());
    if (!headRequest && exchange.options().connection() == SendOptions.ConnectionUse.ANY) {
      Channel channel = takePooled(exchange.address(), exchange.callerExchange().request());
      if (channel != null) {
        write(exchange, channel, head);
        return;
      }
    }
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new Initializer(headRequest))
            .connect(exchange.address().host(), exchange.address().port());
    exchange.channel(connected.channel());
    connected.addListener(
        done -> {
          if (exchange.ended()) {
            connected.channel().close();
          } else if (done.isSuccess()) {
            writeContained(exchange, connected.channel(), head);
          } else {
            listener.attemptFailed(exchange, AttemptFailureCause.NOT_SENT);
          }
        });
  }

  /** Cancels an attempt by closing its connection, if it has one. */
  public void cancel(EndpointExchange exchange) {
    Channel channel = exchange.channel();
    if (channel == null) {
      return;
    }
    EndpointHandler handler = channel.pipeline().get(EndpointHandler.class);
    if (handler == null) {
      channel.close();
    } else {
      handler.cancel(channel.pipeline().context(handler));
    }
  }

  /** Writes a request after the connect; Netty drops what a listener of a future throws. */
  private void writeContained(EndpointExchange exchange, Channel channel, HttpRequest head) {
    try {
      write(exchange, channel, head);
    } catch (RuntimeException | Error failure) {
      listener.failed("effect-failed", "write-request", failure);
      listener.attemptFailed(
          exchange,
          exchange.sent() ? AttemptFailureCause.CONNECTION_LOST : AttemptFailureCause.NOT_SENT);
      channel.close();
    }
  }

  private void write(EndpointExchange exchange, Channel channel, HttpRequest head) {
    exchange.channel(channel);
    ByteBuf body = exchange.callerExchange().body();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            head.protocolVersion(),
            head.method(),
            head.uri(),
            body.retainedDuplicate(),
            head.headers(),
            io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE);
    EndpointHandler handler = channel.pipeline().get(EndpointHandler.class);
    handler.beginExchange(exchange);
    handler.requestSent(exchange.callerExchange().request());
    exchange.markSent();
    channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Returns the last reusable connection that has not carried a request with the same id. */
  private Channel takePooled(NodeAddress address, CallerRequest request) {
    Deque<Channel> channels = pool.get(address);
    long nowNanos = System.nanoTime();
    Deque<Channel> passedOver = new ArrayDeque<>();
    Channel taken = null;
    while (taken == null && channels != null && !channels.isEmpty()) {
      Channel channel = channels.pollLast();
      PoolEntry entry = channel.attr(POOL_ENTRY).get();
      if (!channel.isActive() || nowNanos - entry.reusableUntilNanos() >= 0) {
        channel.close();
      } else if (channel.pipeline().get(EndpointHandler.class).hasCarried(request)) {
        passedOver.addFirst(channel);
      } else {
        taken = channel;
      }
    }
    if (channels != null) {
      channels.addAll(passedOver);
    }
    return taken;
  }

  /** Returns a connection to the pool after a complete answer, or closes it. */
  void release(NodeAddress address, Channel channel, HttpResponse answer, boolean reusable) {
    Deque<Channel> channels = pool.computeIfAbsent(address, key -> new ArrayDeque<>());
    if (!reusable || !channel.isActive() || channels.size() >= MAX_POOLED_PER_ENDPOINT) {
      channel.close();
      return;
    }
    // Reading is paused if the caller of the last answer was slow to take it.
    channel.config().setAutoRead(true);
    channel.attr(POOL_ENTRY).set(new PoolEntry(address, System.nanoTime() + reusableNanos(answer)));
    channels.addLast(channel);
  }

  void removeClosed(Channel channel) {
    PoolEntry entry = channel.attr(POOL_ENTRY).get();
    if (entry != null) {
      Deque<Channel> channels = pool.get(entry.address());
      if (channels != null) {
        channels.remove(channel);
        if (channels.isEmpty()) {
          pool.remove(entry.address());
        }
      }
    }
  }

  private static long reusableNanos(HttpResponse answer) {
    String keepAlive = answer.headers().get("Keep-Alive", "");
    int at = keepAlive.indexOf("timeout=");
    if (at < 0) {
      return DEFAULT_IDLE_NANOS;
    }
    int from = at + "timeout=".length();
    int to = from;
    while (to < keepAlive.length() && Character.isDigit(keepAlive.charAt(to))) {
      to++;
    }
    if (to == from || to - from > 6) {
      return DEFAULT_IDLE_NANOS;
    }
    long seconds = Long.parseLong(keepAlive.substring(from, to));
    return Math.max(0, TimeUnit.SECONDS.toNanos(seconds) - IDLE_MARGIN_NANOS);
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    private final boolean headRequest;

    Initializer(boolean headRequest) {
      this.headRequest = headRequest;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(new ConnectionEnd())
          .addLast(new HttpRequestEncoder())
          .addLast(headRequest ? new HeadAnswerDecoder() : new ResponseDecoder())
          .addLast(new EndpointHandler(listener, EndpointConnectionPool.this, memory));
    }
  }
}
