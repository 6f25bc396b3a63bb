package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays requests whose framing can be read in two ways (RFC 9112, sections 2.2, 5, 6 and 7). */
final class CallerFramingTest {
  private static final String NEXT = "GET /smuggled HTTP/1.1\r\nHost: host\r\n\r\n";

  private final FakeCallerListener listener = new FakeCallerListener();
  private final CallerHandler handler = new CallerHandler(listener);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new ByteArrivalHandler(handler), CallerCodec.create(listener.limits, handler), handler);

  private String receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    StringBuilder written = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      written.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return written.toString();
  }

  // A body in gzip and chunks reached endpoints as gzip without a word of it.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "Content-Length: 3, 4\r\n\r\nabcd",
        "Content-Length: 3, 3\r\n\r\nabc",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: -3\r\n\r\nabc",
        "Content-Length: 0x3\r\n\r\nabc",
        "Content-Length: 3 3\r\n\r\nabc",
        "Content-Length:\r\n\r\n",
        "Content-Length : 3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\n",
        "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding:\u000bchunked\r\n\r\n0\r\n\r\n",
        "A: b\rContent-Length: 3\r\n\r\nabc",
        "A: b\nContent-Length: 3\r\n\r\nabc",
        "A: b\n\n",
        "A: b\u0000c\r\n\r\n",
        "A b\r\n\r\n",
        ": b\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3 x\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n 3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n100000003\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\n"
      })
  void requestWithAmbiguousFramingIsRefused(String rest) {
    String answer = receive("POST /first HTTP/1.1\r\nHost: host\r\n" + rest + NEXT);
    assertThat(listener.paths, empty());
    assertThat(answer, startsWith("HTTP/1.1 400"));
    assertThat(answer.toLowerCase(), containsString("connection: close"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /first HTTP/1.0\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /first HTTP/1.1 \r\nHost: host\r\n\r\n",
        "POST /first x HTTP/1.1\r\nHost: host\r\n\r\n",
        "POST /first\r\nHost: host\r\n\r\n",
        "POST /first XTTP/1.1\r\nHost: host\r\n\r\n",
        "POST /first HTTP/1.1\nHost: host\n\n"
      })
  void requestWithAmbiguousRequestLineIsRefused(String request) {
    String answer = receive(request + NEXT);
    assertThat(listener.paths, empty());
    assertThat(answer, startsWith("HTTP/1.1 400"));
  }

  @Test
  void foldedLineIsPartOfTheValueBeforeIt() {
    receive("POST /first HTTP/1.1\r\nHost: host\r\nA: b\r\n Content-Length: 38\r\n\r\n" + NEXT);
    assertThat(listener.paths, is(List.of("/first")));
    assertThat(listener.bodies, is(List.of("")));
  }

  @Test
  void requestWithinTheLengthOfCutBodyIsNotRun() {
    receive("POST /first HTTP/1.1\r\nHost: host\r\nContent-Length: 60\r\n\r\ncut" + NEXT);
    assertThat(listener.paths, empty());
    channel.close();
    assertThat(listener.paths, empty());
  }

  @Test
  void requestWithinCutChunkIsNotRun() {
    String answer =
        receive(
            "POST /first HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n10\r\ncut"
                + NEXT);
    assertThat(listener.paths, empty());
    assertThat(answer, startsWith("HTTP/1.1 400"));
  }
}
