package io.zinniawood.relay.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.PeerMessage;
import io.zinniawood.relay.FailureLog;
import io.zinniawood.wire.PeerMessageCodec;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Datagram channel to the other relays. A datagram that cannot be sent or decoded is dropped. Netty
 * closes the channel for an error in a read; it is bound again then.
 */
public final class PeerChannel {
  /** Delay before a channel that was closed is bound again. */
  private static final long REBIND_MILLIS = 100;

  private final EventLoop loop;
  private final NodeAddress address;
  private final BiConsumer<PeerMessage, NodeAddress> received;
  private final Consumer<NodeAddress> undecodable;
  private final FailureLog failures;
  private volatile Channel channel;

  private PeerChannel(
      EventLoop loop,
      NodeAddress address,
      BiConsumer<PeerMessage, NodeAddress> received,
      Consumer<NodeAddress> undecodable,
      FailureLog failures) {
    this.loop = loop;
    this.address = address;
    this.received = received;
    this.undecodable = undecodable;
    this.failures = failures;
  }

  /**
   * Binds a channel.
   *
   * @param received receives each valid message and its sender on the event loop
   * @param undecodable receives the sender of each datagram that is no valid message
   * @param failures receives the failures of the channel
   * @throws InterruptedException if the thread is interrupted while the port is bound
   */
  public static PeerChannel bind(
      EventLoop loop,
      NodeAddress address,
      BiConsumer<PeerMessage, NodeAddress> received,
      Consumer<NodeAddress> undecodable,
      FailureLog failures)
      throws InterruptedException {
    PeerChannel peers = new PeerChannel(loop, address, received, undecodable, failures);
    peers.open().sync();
    return peers;
  }

  private ChannelFuture open() {
    ChannelFuture bound =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver())
            .bind(address.host(), address.port());
    channel = bound.channel();
    channel.closeFuture().addListener(closed -> openLater());
    return bound;
  }

  private void openLater() {
    if (!loop.isShuttingDown()) {
      loop.schedule(this::open, REBIND_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns the channel that is bound at present. */
  Channel channel() {
    return channel;
  }

  /** Sends a message to each of the addresses. */
  public void send(List<NodeAddress> receivers, PeerMessage message) {
    byte[] bytes = PeerMessageCodec.encode(message);
    for (NodeAddress receiver : receivers) {
      channel.write(
          new DatagramPacket(
              Unpooled.wrappedBuffer(bytes),
              new InetSocketAddress(receiver.host(), receiver.port())));
    }
    channel.flush();
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      NodeAddress sender =
          new NodeAddress(packet.sender().getAddress().getHostAddress(), packet.sender().getPort());
      Optional<PeerMessage> message =
          PeerMessageCodec.decode(ByteBufUtil.getBytes(packet.content()));
      message.ifPresentOrElse(
          decoded -> received.accept(decoded, sender), () -> undecodable.accept(sender));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram that got lost is replaced by the next one.
      failures.failed("connection-failed", "relays", cause);
    }
  }
}
