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

/** Plays endpoints whose answers begin with a status line that HTTP does not know. */
final class StatusLineTest {
  private static final String REST =
      "\r\nContent-Type: text/event-stream\r\nContent-Length: 2\r\n"
          + FakeEndpointListener.ID_HEADER
          + ": own\r\n\r\nok";

  private final FakeEndpointListener listener = new FakeEndpointListener();
  private final MemoryAccount memory =
      new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {});
  private final EndpointHandler handler =
      new EndpointHandler(listener, new EndpointConnectionPool(null, memory, listener), memory);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new ConnectionEnd(), new ResponseDecoder(), handler);

  private void answer(boolean streaming, String text) {
    handler.beginExchange(EndpointExchanges.create(1_000, streaming));
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private void assertThatNothingIsKnown() {
    assertThat(listener.answers, empty());
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
    assertThat("nothing is read from the head", listener.heads, empty());
    assertThat("the connection is not used again", channel.isActive(), is(false));
  }

  // A caller got an endpoint's answer with the status 000.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 Unknown",
        "HTTP/1.1 000",
        "HTTP/1.1 0 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/0.9 200 OK"
      })
  void answerWithUnknownStatusLineSaysNothing(String statusLine) {
    answer(false, statusLine + REST);
    assertThatNothingIsKnown();
  }

  // The same for streams, whose head goes to the caller before the first event.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 000 Unknown", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK"})
  void streamWithUnknownStatusLineDoesNotBegin(String statusLine) {
    answer(true, statusLine + REST);
    assertThatNothingIsKnown();
  }

  // Guards against refusing statuses that HTTP allows without naming them.
  @ParameterizedTest
  @ValueSource(ints = {200, 201, 299, 404, 451, 500, 599})
  void answerWithAnyStatusOfHttpIsDelivered(int status) {
    answer(false, "HTTP/1.1 " + status + REST);
    assertThat(listener.answers, is(List.of(status)));
  }

  // Guards against taking interim answers for an unknown status, or for the final one.
  @Test
  void interimAnswersPrecedeTheFinalOne() {
    answer(false, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK" + REST);
    assertThat(listener.answers, is(List.of(200)));
  }
}
