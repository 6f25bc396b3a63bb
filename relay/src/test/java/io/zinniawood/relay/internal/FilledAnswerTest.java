package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.zinniawood.core.frame.ForeignHead;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.ingress.MemoryAccount;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Plays endpoints that break off within an answer and then answer again on the connection. */
final class FilledAnswerTest {
  private static final String REPETITION =
      "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 2\r\n\r\nok";
  private static final String BROKEN_OFF = "{\"level\":";

  private final FakeEndpointListener listener = new FakeEndpointListener();
  private final MemoryAccount memory =
      new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {});
  private final EndpointHandler handler =
      new EndpointHandler(listener, new EndpointConnectionPool(null, memory, listener), memory);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new ConnectionEnd(), new ResponseDecoder(), handler);
  private EndpointExchange exchange;

  private void sendRequest(String id) {
    sendRequest(id, 1_000);
  }

  private void sendRequest(String id, long limitMillis) {
    exchange = EndpointExchanges.create(limitMillis, false);
    exchange.markSent();
    handler.beginExchange(exchange);
    handler.requestSent(
        new CallerRequest(
            Optional.of(new RequestId(id)),
            "host",
            "/x",
            Optional.empty(),
            OptionalLong.empty(),
            0,
            0,
            0,
            List.of()));
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static String head(int bodyBytes) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
  }

  private boolean believed() {
    exchange.takeUnconfirmed().ifPresent(held -> held.take().run());
    return !listener.answers.isEmpty()
        && exchange.evidence().foreignHead() != ForeignHead.PRESENT
        && listener.failures.isEmpty();
  }

  // A broken-off answer whose length its repetition filled reached a caller as a whole 200.
  @Test
  void answerFilledByItsRepetitionIsNotBelieved() {
    for (int missing = 1; missing <= REPETITION.length(); missing++) {
      FilledAnswerTest play = new FilledAnswerTest();
      play.sendRequest("own");
      play.receive(head(BROKEN_OFF.length() + missing) + BROKEN_OFF + REPETITION);
      assertThat("missing " + missing, play.believed(), is(false));
    }
  }

  // A rest without a line end reached the decoder, which reported nothing of it.
  @Test
  void answerFilledUpToTheIdInTheLastFieldIsNotBelieved() {
    String repetition = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: own\r\n\r\nok";
    for (int missing = 1; missing <= repetition.length(); missing++) {
      FilledAnswerTest play = new FilledAnswerTest();
      play.sendRequest("own");
      play.receive(head(BROKEN_OFF.length() + missing) + BROKEN_OFF + repetition);
      assertThat("missing " + missing, play.believed(), is(false));
    }
  }

  // The same, where the rest of the repetition comes in a read of its own.
  @Test
  void answerFilledByItsRepetitionIsNotBelievedWhenTheRestFollows() {
    for (int missing = 1; missing < REPETITION.length(); missing++) {
      FilledAnswerTest play = new FilledAnswerTest();
      play.sendRequest("own");
      play.receive(head(BROKEN_OFF.length() + missing) + BROKEN_OFF);
      play.receive(REPETITION.substring(0, missing));
      if (play.channel.isActive()) {
        play.receive(REPETITION.substring(missing));
      }
      assertThat("missing " + missing, play.believed(), is(false));
    }
  }

  // The same with chunks, where the last chunk of the repetition ends the answer.
  @Test
  void chunkFilledByItsRepetitionIsNotBelieved() {
    String body = "{\"level\":3}" + " ".repeat(200);
    String answer =
        ("HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "%x\r\n%s\r\n0\r\n\r\n")
            .formatted(body.length(), body);
    int bodyStart = answer.indexOf("{");
    for (int cut = bodyStart; cut < bodyStart + body.length(); cut++) {
      FilledAnswerTest play = new FilledAnswerTest();
      play.sendRequest("own");
      play.receive(answer.substring(0, cut) + answer);
      assertThat("cut at " + cut, play.believed(), is(false));
    }
  }

  // The repeated answer to an earlier request filled the answer to the present one.
  @Test
  void answerFilledByRepetitionOfEarlierOneIsNotBelieved() {
    sendRequest("earlier");
    receive("HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n");
    listener.answers.clear();
    sendRequest("own");
    String repetition = REPETITION.replace("own", "earlier");
    receive(head(BROKEN_OFF.length() + repetition.length()) + BROKEN_OFF + repetition);
    assertThat(believed(), is(false));
  }

  // An endpoint that stopped a few milliseconds before its limit ended its part of a 200 as whole.
  @Test
  void endShortlyBeforeTheTimeLimitIsNotBelievedByItsFormAlone() {
    String chunked =
        "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "2\r\n{}\r\n0\r\n\r\n";
    sendRequest("own", 20);
    receive(chunked);
    assertThat(listener.failures, is(List.of(AttemptFailureCause.TIME_LIMIT)));

    FilledAnswerTest early = new FilledAnswerTest();
    early.sendRequest("own", 5_000);
    early.receive(chunked);
    assertThat(early.listener.answers, is(List.of(200)));

    FilledAnswerTest counted = new FilledAnswerTest();
    counted.sendRequest("own", 20);
    counted.receive(head(2) + "{}");
    assertThat(counted.listener.answers, is(List.of(200)));
  }

  // A first answer that was cut within its head became whole with the head of the second answer.
  @Test
  void headThatAnotherHeadCompletesIsNotBelieved() {
    for (String status : List.of("200 OK", "500 Failed")) {
      for (String framing : List.of("Content-Length: 300", "Transfer-Encoding: chunked", "X: y")) {
        String head =
            "HTTP/1.1 %s\r\n%s\r\nRequest-Id: own\r\nSignature: s\r\n\r\n"
                .formatted(status, framing);
        for (int cut = 1; cut < head.length(); cut++) {
          FilledAnswerTest play = new FilledAnswerTest();
          play.sendRequest("own");
          play.receive(head.substring(0, cut) + REPETITION);
          assertThat(head.substring(0, cut), play.listener.answers, empty());
        }
      }
    }
  }

  // A head without its first bytes passed for the head of an answer.
  @Test
  void headWithoutItsFirstByteIsNoAnswer() {
    sendRequest("own");
    receive(REPETITION.substring(1));
    assertThat(listener.answers, empty());
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  @Test
  void wholeAnswerThatEndsLikeAnotherBeginsIsTaken() {
    sendRequest("own");
    receive(head(9) + "room 17 H");
    assertThat(listener.answers, empty());
    assertThat(believed(), is(true));
  }

  // An endpoint that was killed within the second answer left a filled one, which was believed.
  @Test
  void answerInDoubtIsNotBelievedWhenItsConnectionFails() {
    sendRequest("own");
    receive(head(BROKEN_OFF.length() + 12) + BROKEN_OFF + REPETITION.substring(0, 12));
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.CONNECTION_LOST)));
  }

  @Test
  void wholeAnswerIsTakenWhenItsRepetitionFollows() {
    sendRequest("own");
    receive(head(9) + "room 17 H" + REPETITION);
    assertThat(listener.answers, is(List.of(200)));
    assertThat(listener.failures, empty());
    assertThat(listener.surplus, is(List.of("answer")));
    assertThat(channel.isActive(), is(false));
  }

  @Test
  void heldAnswerIsDroppedWithItsAttempt() {
    sendRequest("own");
    listener.keepContent = true;
    receive(head(9) + "room 17 H");
    exchange.markEnded();
    assertThat(listener.answers, empty());
    assertThat(memory.usedBytes(), is(0L));
  }
}
