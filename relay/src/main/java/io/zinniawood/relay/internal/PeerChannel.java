package io.zinniawood.relay.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.PeerMessage;
import io.zinniawood.wire.PeerMessageCodec;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Datagram channel to the other relays. A datagram that cannot be sent or decoded is dropped. */
public final class PeerChannel {
  private final Channel channel;

  private PeerChannel(Channel channel) {
    this.channel = channel;
  }

  /**
   * Binds a channel.
   *
   * @param received receives each valid message and its sender on the event loop
   * @param undecodable receives the sender of each datagram that is no valid message
   * @throws InterruptedException if the thread is interrupted while the port is bound
   */
  public static PeerChannel bind(
      EventLoop loop,
      NodeAddress address,
      BiConsumer<PeerMessage, NodeAddress> received,
      Consumer<NodeAddress> undecodable)
      throws InterruptedException {
    return new PeerChannel(
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(new Receiver(received, undecodable))
            .bind(address.host(), address.port())
            .sync()
            .channel());
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

  private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    private final BiConsumer<PeerMessage, NodeAddress> received;
    private final Consumer<NodeAddress> undecodable;

    Receiver(BiConsumer<PeerMessage, NodeAddress> received, Consumer<NodeAddress> undecodable) {
      this.received = received;
      this.undecodable = undecodable;
    }

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
      // The channel stays usable: a datagram that got lost is replaced by the next one.
      System.getLogger(PeerChannel.class.getName())
          .log(System.Logger.Level.WARNING, "datagram from another relay failed", cause);
    }
  }
}
