package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.ingress.MemoryAccount;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays endpoints in trouble that send bytes without end until the relay closes. */
final class EndlessAnswerTest {
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final int MAX_TOTAL_BYTES = 1024 * 1024;
  private static final int MAX_ANSWER_BYTES = 256 * 1024;

  /** Bytes after which an endpoint that is still read counts as endless. */
  private static final long ENDLESS_BYTES = 8 * 1024 * 1024;

  private final MemoryAccount memory =
      new MemoryAccount(MAX_TOTAL_BYTES, MAX_ANSWER_BYTES, (used, limit) -> {});
  private final FakeEndpointListener listener = new FakeEndpointListener();

  private EmbeddedChannel connection() {
    EndpointHandler handler =
        new EndpointHandler(listener, new EndpointConnectionPool(null, memory, listener), memory);
    EmbeddedChannel channel =
        new EmbeddedChannel(new ConnectionEnd(), new ResponseDecoder(), handler);
    handler.beginExchange(EndpointExchanges.create(1_000, false));
    return channel;
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static ByteBuf filler() {
    return bytes("x".repeat(CHUNK_BYTES));
  }

  /** Sends filler until the relay closes, and returns the number of bytes that it took. */
  private static long sendUntilClosed(EmbeddedChannel channel) {
    long sent = 0;
    while (channel.isActive() && sent < ENDLESS_BYTES) {
      channel.writeInbound(filler());
      sent += CHUNK_BYTES;
    }
    return sent;
  }

  @Test
  void endlessHeadIsCutOff() {
    EmbeddedChannel channel = connection();
    channel.writeInbound(bytes("HTTP/1.1 200 OK\r\nX-Filler: "));
    assertThat(sendUntilClosed(channel), lessThanOrEqualTo((long) MAX_ANSWER_BYTES));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  @Test
  void endlessStatusLineIsCutOff() {
    EmbeddedChannel channel = connection();
    assertThat(sendUntilClosed(channel), lessThanOrEqualTo((long) MAX_ANSWER_BYTES));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  @Test
  void endlessBodyIsCutOff() {
    EmbeddedChannel channel = connection();
    channel.writeInbound(bytes("HTTP/1.1 200 OK\r\n\r\n"));
    assertThat(sendUntilClosed(channel), lessThanOrEqualTo((long) MAX_ANSWER_BYTES + CHUNK_BYTES));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
    assertThat(memory.usedBytes(), is(0L));
  }

  // Each body alone would be short enough; all together must not fill the memory.
  @Test
  void endlessBodiesTogetherStayWithinMemory() {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int count = 0; count < 40; count++) {
      EmbeddedChannel channel = connection();
      channel.writeInbound(bytes("HTTP/1.1 200 OK\r\n\r\n"));
      channels.add(channel);
    }
    for (int round = 0; round < 8; round++) {
      for (EmbeddedChannel channel : channels) {
        if (channel.isActive()) {
          channel.writeInbound(filler());
        }
      }
      assertThat(memory.usedBytes(), lessThanOrEqualTo((long) MAX_TOTAL_BYTES));
    }
    channels.forEach(EmbeddedChannel::close);
    assertThat(memory.usedBytes(), is(0L));
  }

  // Guards against requests that wait until their deadline for an endpoint that never answers them.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
        "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
      })
  void answerThatIsSkippedOrHasEndlessTrailersIsCutOff(String start) {
    EmbeddedChannel channel = connection();
    channel.writeInbound(bytes(start));
    assertThat(sendUntilClosed(channel), lessThanOrEqualTo((long) MAX_ANSWER_BYTES + CHUNK_BYTES));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 103 Hint\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nContent-Length: 0\r\n\r\n"
      })
  void skippedAnswersWithoutEndAreCutOff(String answer) {
    EmbeddedChannel channel = connection();
    int sent = 0;
    while (channel.isActive() && sent < 10_000) {
      channel.writeInbound(bytes(answer));
      sent++;
    }
    assertThat(sent, lessThanOrEqualTo(100));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  // Guards against answers that slow callers do not take and nothing counts.
  @Test
  void completeAnswerCountsUntilItIsReleased() {
    listener.keepContent = true;
    EmbeddedChannel channel = connection();
    channel.writeInbound(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + CHUNK_BYTES + "\r\n\r\n"));
    channel.writeInbound(filler());
    assertThat(listener.answers, is(List.of(200)));
    assertThat(memory.usedBytes(), is((long) CHUNK_BYTES));
    listener.kept.forEach(ByteBuf::release);
    assertThat(memory.usedBytes(), is(0L));
  }

  @Test
  void endlessEventIsCutOff() {
    EventStreamSplitter splitter = new EventStreamSplitter(0);
    long sent = 0;
    boolean valid = true;
    while (valid && sent < ENDLESS_BYTES) {
      valid = splitter.split(filler(), List.of(), event -> {});
      sent += CHUNK_BYTES;
    }
    assertThat(sent, lessThanOrEqualTo((long) MAX_ANSWER_BYTES));
  }
}
