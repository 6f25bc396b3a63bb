package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.ingress.MemoryAccount;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays endpoints whose answers are framed against RFC 9112, sections 6 and 7. */
final class AnswerFramingTest {
  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private final FakeEndpointListener listener = new FakeEndpointListener();
  private final MemoryAccount memory =
      new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {});
  private final EndpointHandler handler =
      new EndpointHandler(listener, new EndpointConnectionPool(null, memory, listener), memory);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new ConnectionEnd(), new ResponseDecoder(), handler);

  private void receive(String text) {
    EndpointExchange exchange = EndpointExchanges.create(1_000, false);
    exchange.markSent();
    handler.beginExchange(exchange);
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "3\nabc\r\n0\r\n\r\n",
        "3\r\nabc\n0\r\n\r\n",
        "3\r\nabcX\r\n0\r\n\r\n",
        "3\r\nabcXX0\r\n\r\n",
        "3\r\nabc\r\n\r\n0\r\n\r\n",
        "3\r\nabc\r\n3 x\r\nabc\r\n0\r\n\r\n",
        "3;a\nb\r\nabc\r\n0\r\n\r\n",
        "+3\r\nabc\r\n0\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "100000003\r\nabc\r\n0\r\n\r\n",
        "3\r\nabc\r\n0\n\r\n",
        "3\r\nabc\r\n0\r\n\n",
        "3\r\nabc\r\nHTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n",
        "3\r\nabc\r\n0\r\nHTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n",
        "3\r\nabc\r\n0 HTTP/1.1 200 OK\r\n\r\n"
      })
  void answerWithWrongChunksIsInvalid(String body) {
    receive(STATUS_LINE + CHUNKED + body);
    assertThat(listener.answers, empty());
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  // A body in gzip and chunks reached callers as gzip without a word of it.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3, 4\r\n\r\nabcd",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: -3\r\n\r\nabc",
        "Content-Length: 3 3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc",
        "A: b\nContent-Length: 3\r\n\r\nabc",
        "A: b\rContent-Length: 3\r\n\r\nabc"
      })
  void answerWithAmbiguousFramingIsInvalid(String rest) {
    receive(STATUS_LINE + rest);
    assertThat(listener.answers, empty());
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  @Test
  void answerWithExtensionAndTrailerIsTaken() {
    receive(STATUS_LINE + CHUNKED + "3;name=value\r\nabc\r\n0\r\nA-Trailer: x\r\n\r\n");
    assertThat(listener.answers, is(List.of(200)));
  }
}
