package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.zinniawood.core.model.NodeAddress;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PeerChannelTest {
  private static final int MAX_DATAGRAMS = 50;
  private static final long INTERVAL_MILLIS = 100;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  private final List<String> lines = new CopyOnWriteArrayList<>();

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Lacks memory for the first buffer. */
  private static final class LackingAllocator extends AbstractByteBufAllocator {
    private boolean lacked;

    @Override
    protected ByteBuf newDirectBuffer(int initialBytes, int maxBytes) {
      if (!lacked) {
        lacked = true;
        throw new OutOfMemoryError("Cannot reserve 2048 bytes of direct buffer memory");
      }
      return UnpooledByteBufAllocator.DEFAULT.directBuffer(initialBytes, maxBytes);
    }

    @Override
    protected ByteBuf newHeapBuffer(int initialBytes, int maxBytes) {
      return UnpooledByteBufAllocator.DEFAULT.heapBuffer(initialBytes, maxBytes);
    }

    @Override
    public boolean isDirectBufferPooled() {
      return false;
    }
  }

  private static int freePort() throws Exception {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  // A lack of memory for one datagram closed the channel to the other relays for good.
  @Test
  void channelReceivesAgainAfterMemoryWasLacking() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    int port = freePort();
    PeerChannel channel =
        PeerChannel.bind(
            (EventLoop) group.next(),
            new NodeAddress("127.0.0.1", port),
            (message, sender) -> {},
            sender -> received.countDown(),
            (event, subject, failure) -> lines.add(event + " " + subject));
    channel.channel().config().setAllocator(new LackingAllocator());
    try (DatagramSocket sender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      boolean again = false;
      for (int sent = 0; sent < MAX_DATAGRAMS && !again; sent++) {
        sender.send(new DatagramPacket(new byte[] {1}, 1, InetAddress.getLoopbackAddress(), port));
        again = received.await(INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      }
      assertThat(again, is(true));
      assertThat(lines, is(List.of("connection-failed relays")));
    }
  }
}
