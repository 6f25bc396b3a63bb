package io.zinniawood.wire.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class PeerMemoryTest {
  private static final int LIMIT_BYTES = 1024 * 1024;
  private static final int PART_BYTES = 64 * 1024;

  private final PeerMemory memory = new PeerMemory(LIMIT_BYTES);

  private EmbeddedChannel connection() {
    EnvelopeCodec codec = new EnvelopeCodec(memory);
    codec.handshakeCompleted();
    return new EmbeddedChannel(new PeerMemoryHandler(memory), codec);
  }

  private static void announceFrame(EmbeddedChannel channel, int bytes) {
    channel.writeInbound(Unpooled.buffer().writeInt(bytes));
  }

  private static void receive(EmbeddedChannel channel, int bytes) {
    channel.writeInbound(Unpooled.buffer().writeZero(bytes));
  }

  // Guards against incomplete frames that are bounded each but not together.
  @Test
  void connectionWithTheLargestFrameGivesWay() {
    EmbeddedChannel small = connection();
    announceFrame(small, 2 * PART_BYTES);
    receive(small, PART_BYTES);
    List<EmbeddedChannel> large = new ArrayList<>();
    for (int count = 0; count < 4; count++) {
      EmbeddedChannel channel = connection();
      announceFrame(channel, LIMIT_BYTES / 2);
      large.add(channel);
    }
    for (int part = 1; part < LIMIT_BYTES / 2 / PART_BYTES; part++) {
      large.stream().filter(EmbeddedChannel::isOpen).forEach(open -> receive(open, PART_BYTES));
    }
    assertThat(small.isOpen(), is(true));
    assertThat(large.stream().filter(EmbeddedChannel::isOpen).count(), is(1L));
    large.forEach(EmbeddedChannel::finishAndReleaseAll);
    small.finishAndReleaseAll();
  }

  // Guards against memory that stays counted after its connection has closed.
  @Test
  void closedConnectionsHoldNothing() {
    for (int count = 0; count < 100; count++) {
      EmbeddedChannel channel = connection();
      announceFrame(channel, LIMIT_BYTES);
      receive(channel, LIMIT_BYTES / 4);
      assertThat(channel.isOpen(), is(true));
      channel.finishAndReleaseAll();
    }
  }

  // Guards against large frames of connections whose peer is not known yet.
  @Test
  void largeFrameBeforeTheHandshakeIsRefused() {
    EmbeddedChannel channel = new EmbeddedChannel(new EnvelopeCodec(memory));
    assertThrows(
        CorruptedFrameException.class,
        () -> announceFrame(channel, EnvelopeCodec.MAX_HANDSHAKE_BYTES + 1));
  }

  // Guards against probes without pause, and against a limit that counts those of earlier seconds.
  @Test
  void probesAreLimitedBySecond() {
    ProbeLimit limit = new ProbeLimit();
    for (long second = 0; second < 3; second++) {
      long nowNanos = second * 1_000_000_000L;
      for (int probe = 0; probe < ProbeLimit.MAX_PROBES_PER_SECOND; probe++) {
        assertThat(limit.allows(nowNanos), is(true));
      }
      assertThat(limit.allows(nowNanos + 999_999_999L), is(false));
    }
  }
}
