package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class AdminHandlerTest {
  private final List<String> lines = new ArrayList<>();
  private final FailingWrites writes = new FailingWrites();

  private EmbeddedChannel receive(String path) {
    EmbeddedChannel channel =
        new EmbeddedChannel(
            writes,
            new HttpServerCodec(),
            new AdminHandler(
                () -> true,
                () -> {
                  throw new StackOverflowError();
                },
                (event, subject, failure) -> lines.add(event + " " + subject)));
    channel.writeInbound(
        Unpooled.copiedBuffer(
            "GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n", StandardCharsets.US_ASCII));
    return channel;
  }

  // Metrics that could not be rendered closed the connection without an answer or a line.
  @Test
  void failureIsAnsweredAndLogged() {
    EmbeddedChannel channel = receive("/metrics");
    ByteBuf answer = channel.readOutbound();
    assertThat(answer, notNullValue());
    assertThat(answer.toString(StandardCharsets.US_ASCII), startsWith("HTTP/1.1 500"));
    answer.release();
    assertThat(lines, is(List.of("callback-failed admin")));
  }

  // A probe whose answer could not be written waited on an open connection.
  @Test
  void connectionClosesWhenItsAnswerCannotBeWritten() {
    writes.failing = true;
    assertThat(receive("/readiness").isOpen(), is(false));
  }
}
