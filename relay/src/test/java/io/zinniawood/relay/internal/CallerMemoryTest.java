package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.zinniawood.ingress.MemoryAccount;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays callers that together send more than the memory of a relay. */
final class CallerMemoryTest {
  private static final int LIMIT_BYTES = 1024 * 1024;
  private static final int CALLERS = 200;
  private static final int PART_BYTES = 8 * 1024;

  private final FakeCallerListener listener = new FakeCallerListener();
  private long shortages;

  private EmbeddedChannel connection() {
    listener.memory = memory;
    CallerHandler handler = new CallerHandler(listener);
    return new EmbeddedChannel(new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
  }

  private final MemoryAccount memory =
      new MemoryAccount(LIMIT_BYTES, LIMIT_BYTES / 2, (used, limit) -> shortages++);

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static String post(int contentBytes) {
    return "POST /first HTTP/1.1\r\nHost: host\r\nContent-Length: " + contentBytes + "\r\n\r\n";
  }

  private static String written(EmbeddedChannel channel) {
    ByteBuf answer = channel.readOutbound();
    if (answer == null) {
      return "";
    }
    String text = answer.toString(StandardCharsets.US_ASCII);
    answer.release();
    return text;
  }

  // Guards against bodies that are bounded each but not together.
  @Test
  void bodiesTogetherStayWithinMemoryAndSmallRequestsGoOn() {
    List<EmbeddedChannel> large = new ArrayList<>();
    for (int count = 0; count < CALLERS; count++) {
      EmbeddedChannel channel = connection();
      channel.writeInbound(bytes(post(LIMIT_BYTES)));
      large.add(channel);
    }
    for (int part = 0; part < 8; part++) {
      for (EmbeddedChannel channel : large) {
        channel.writeInbound(bytes("x".repeat(PART_BYTES)));
        assertThat(memory.usedBytes(), lessThanOrEqualTo((long) LIMIT_BYTES));
      }
      EmbeddedChannel small = connection();
      small.writeInbound(bytes(post(4) + "abcd"));
      assertThat(listener.bodies.size(), is(part + 1));
      small.finishAndReleaseAll();
    }
    long refused = 0;
    for (EmbeddedChannel channel : large) {
      String answer = written(channel);
      if (!answer.isEmpty()) {
        refused++;
        assertThat(answer, startsWith("HTTP/1.1 503"));
        assertThat(answer, containsString("retry-after: 1.000"));
        assertThat(answer, containsString("memory-short"));
      }
      channel.finishAndReleaseAll();
    }
    assertThat(refused, greaterThan(0L));
    assertThat(shortages, greaterThan(0L));
    assertThat(memory.usedBytes(), is(0L));
  }

  // Guards against memory that a request still uses but the account does not count.
  @Test
  void bodyCountsUntilItsRequestEnds() {
    EmbeddedChannel channel = connection();
    channel.writeInbound(bytes(post(PART_BYTES) + "x".repeat(PART_BYTES)));
    assertThat(memory.usedBytes(), is((long) PART_BYTES));
    listener.answer();
    assertThat(memory.usedBytes(), is(0L));
    channel.finishAndReleaseAll();
  }

  // Guards against a queue of bodies behind a request in progress, up to 64 parts of 8 KiB each.
  @Test
  void readingPausesWhileBodiesAreQueued() {
    EmbeddedChannel channel = connection();
    channel.writeInbound(bytes(post(0) + post(LIMIT_BYTES / 2)));
    channel.writeInbound(bytes("x".repeat(3 * PART_BYTES)));
    assertThat(channel.config().isAutoRead(), is(false));
    listener.answer();
    channel.runPendingTasks();
    assertThat(channel.config().isAutoRead(), is(true));
    channel.finishAndReleaseAll();
  }
}
