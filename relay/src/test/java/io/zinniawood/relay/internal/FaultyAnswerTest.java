package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.ingress.MemoryAccount;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Plays endpoints that repeat answers or break off within an answer. */
final class FaultyAnswerTest {
  private static final String REFUSAL = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n";
  private static final String ID = FakeEndpointListener.ID_HEADER + ": ";

  private final FakeEndpointListener listener = new FakeEndpointListener();
  private final MemoryAccount memory =
      new MemoryAccount(1024 * 1024, 64 * 1024, (used, limit) -> {});
  private final EndpointHandler handler =
      new EndpointHandler(listener, new EndpointConnectionPool(null, memory, listener), memory);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new ConnectionEnd(), new ResponseDecoder(), handler);

  private void beginExchange(boolean streaming) {
    handler.beginExchange(EndpointExchanges.create(1_000, streaming));
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private void answerOneRequest() {
    beginExchange(false);
    receive(REFUSAL + ID + FakeEndpointListener.OWN_ID + "\r\n\r\n");
    assertThat(listener.answers, is(List.of(503)));
    listener.answers.clear();
  }

  // Guards against telling a caller "not run" because an earlier refusal was written once more.
  @Test
  void repeatedRefusalOfEarlierRequestIsSkipped() {
    answerOneRequest();
    beginExchange(false);
    receive(REFUSAL + ID + "earlier\r\n\r\n");
    assertThat(listener.answers, empty());
    receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + ID + "own\r\n\r\n");
    assertThat(listener.answers, is(List.of(200)));
  }

  // A part of a repeated answer swallowed the next head; a repetition of that answer passed for it.
  @Test
  void repetitionAfterPartOfAnotherIsNoAnswer() {
    answerOneRequest();
    beginExchange(true);
    receive("HTTP/1.1 200 OK\r\n" + ID + "earl");
    String failure = "HTTP/1.1 500 Failed\r\n" + ID + "own\r\nContent-Length: 4\r\n\r\nfail";
    receive(failure + "HTTP/1.1 200 OK\r\n" + ID + "own\r\nContent-Length: 2\r\n\r\nok");
    assertThat(listener.answers, empty());
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  // Guards against the same where the refusal does not say which request it belongs to.
  @Test
  void refusalWithoutIdOnKeptConnectionProvesNothing() {
    answerOneRequest();
    beginExchange(false);
    receive(REFUSAL + "\r\n");
    assertThat(listener.answers, empty());
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
    assertThat(channel.isActive(), is(false));
  }

  // Guards against missing what an endpoint says about itself in an answer that nobody waits for.
  @Test
  void headsOfSkippedAndLateAnswersAreDelivered() {
    beginExchange(false);
    receive("HTTP/1.1 429 Full\r\nContent-Length: 0\r\n" + ID + "earlier\r\n\r\n");
    receive(REFUSAL + ID + "own\r\n\r\n");
    receive("HTTP/1.1 500 Late\r\nContent-Length: 0\r\n" + ID + "earlier\r\n\r\n");
    assertThat(listener.answers, is(List.of(503)));
    assertThat(listener.heads, is(List.of(429, 503, 500)));
  }

  // Guards against a repeated answer on an idle connection that no log line tells of.
  @Test
  void bytesBehindAnAnswerAreReportedOnce() {
    beginExchange(false);
    receive(REFUSAL + ID + "own\r\n\r\n" + REFUSAL + ID + "own\r\n\r\n" + REFUSAL + "\r\n");
    assertThat(listener.answers, is(List.of(503)));
    assertThat(listener.surplus, is(List.of("answer")));
  }

  // A connection with a few bytes behind its last answer carried a request, whose answer was lost.
  @Test
  void connectionWithBytesBehindItsAnswerIsClosed() {
    beginExchange(false);
    receive(REFUSAL + ID + "own\r\n\r\nok");
    assertThat(listener.answers, is(List.of(503)));
    assertThat(listener.surplus, is(List.of("no-answer")));
    assertThat(channel.isActive(), is(false));
  }

  // A request that waited for the answer was sent on the connection, behind the same bytes.
  @Test
  void connectionWithBytesBehindItsAnswerIsClosedBeforeTheAnswerIsDelivered() {
    AtomicBoolean reusable = new AtomicBoolean();
    listener.onAnswer = () -> reusable.set(channel.isActive());
    beginExchange(false);
    receive(REFUSAL + ID + "own\r\n\r\nabc");
    assertThat(listener.answers, is(List.of(503)));
    assertThat(reusable.get(), is(false));
  }

  @Test
  void headIsDeliveredBeforeTheBody() {
    beginExchange(false);
    receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + ID + "own\r\n\r\nab");
    assertThat(listener.answers, empty());
    assertThat(listener.heads, is(List.of(200)));
  }

  // Guards against a request on a kept connection that nobody reads as an earlier caller was slow.
  @Test
  void connectionIsReadAgainAfterItsAnswerWasPaused() {
    beginExchange(true);
    receive("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata:");
    channel.config().setAutoRead(false);
    receive(" x\n\n");
    assertThat(listener.completedStreams, is(1));
    assertThat(channel.config().isAutoRead(), is(true));
  }

  @Test
  void refusalWithoutIdOnNewConnectionCounts() {
    beginExchange(false);
    receive(REFUSAL + "\r\n");
    assertThat(listener.answers, is(List.of(503)));
  }

  // Guards against a 200 with an empty body when the endpoint closes within the head.
  @Test
  void answerThatEndsWithinItsHeadIsLost() {
    for (String head :
        List.of(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ID + "own\r\nX-Cut: ab",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
            "HTTP/1.1 200 OK\r\n" + ID + "own\r\n",
            "HTTP/1.1 20")) {
      for (boolean streaming : List.of(true, false)) {
        FaultyAnswerTest fresh = new FaultyAnswerTest();
        fresh.beginExchange(streaming);
        fresh.receive(head);
        fresh.channel.close();
        assertThat(head, fresh.listener.failures, is(List.of(AttemptFailureCause.CONNECTION_LOST)));
        assertThat(head, fresh.listener.answers, empty());
        assertThat(head, fresh.listener.streams, empty());
      }
    }
  }

  // A failure of the relay left no line and counted as a crash of the endpoint.
  @Test
  void failureOfTheRelayIsLoggedAndIsNoLostConnection() {
    beginExchange(false);
    channel.pipeline().fireExceptionCaught(new OutOfMemoryError("Cannot reserve 4096 bytes"));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
    assertThat(listener.faults, is(List.of("connection-failed endpoint")));
  }

  @Test
  void resetByTheEndpointIsLostConnection() {
    beginExchange(false);
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
    assertThat(listener.failures, is(List.of(AttemptFailureCause.CONNECTION_LOST)));
    assertThat(listener.faults, empty());
  }

  // An exception while a whole answer was delivered left the request to its deadline.
  @Test
  void attemptEndsWhenItsWholeAnswerCannotBeDelivered() {
    listener.failing = true;
    beginExchange(false);
    receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + ID + "own\r\n\r\n");
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
    assertThat(channel.isActive(), is(false));
  }

  // An endpoint was killed within an answer without a length; its part reached a caller as whole.
  @Test
  void answerWithoutLengthIsWholeOnlyOnceItsEndIsConfirmed() {
    for (boolean streaming : List.of(true, false)) {
      FaultyAnswerTest ended = receiveWithoutLength(streaming);
      ended.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      assertThat(ended.listener.answers, empty());
      assertThat(ended.listener.completedStreams, is(0));
      ended.listener.unconfirmed.get(0).take().run();
      assertThat(ended.listener.answers.size() + ended.listener.completedStreams, is(1));
      assertThat(ended.channel.isActive(), is(false));

      FaultyAnswerTest cut = receiveWithoutLength(streaming);
      cut.channel.close();
      assertThat(cut.listener.unconfirmed, empty());
      assertThat(cut.listener.failures, is(List.of(AttemptFailureCause.CONNECTION_LOST)));
      assertThat(cut.listener.answers, empty());
      assertThat(cut.listener.completedStreams, is(0));
    }
  }

  private static FaultyAnswerTest receiveWithoutLength(boolean streaming) {
    FaultyAnswerTest fresh = new FaultyAnswerTest();
    fresh.beginExchange(streaming);
    fresh.receive(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ID + "own\r\n\r\ndata: x\n\n");
    return fresh;
  }

  // The second answer of an endpoint that repeats itself, a short text, was passed on as a stream.
  @Test
  void successWithoutStreamDoesNotAnswerStreamingRequest() {
    beginExchange(true);
    receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + ID + "own\r\n\r\n{}");
    assertThat(listener.answers, empty());
    assertThat(listener.failures, is(List.of(AttemptFailureCause.INVALID_ANSWER)));
  }

  // An answer whose status allows no body ends without a length while its connection stays open.
  @Test
  void answerWithoutBodyNeedsNoConfirmation() {
    beginExchange(false);
    receive("HTTP/1.1 204 No Content\r\n" + ID + "own\r\n\r\n");
    assertThat(listener.answers, is(List.of(204)));
  }

  @Test
  void mediaTypeOfStreamsIgnoresCase() {
    beginExchange(true);
    receive(
        "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n"
            + "Content-Length: 9\r\n"
            + ID
            + "own\r\n\r\ndata: x\n\n");
    assertThat(listener.completedStreams, is(1));
  }

  // A kept connection that the endpoint has closed must not carry another request.
  @Test
  void connectionThatTheEndpointEndsWhileIdleIsClosed() {
    answerOneRequest();
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    assertThat(channel.isActive(), is(false));
  }

  @Test
  void answerThatEndsWithinItsBodyIsLost() {
    for (String answer :
        List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + ID + "own\r\n\r\nab",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + ID + "own\r\n\r\n5\r\nabcde\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + ID + "own\r\n\r\n0\r\n")) {
      FaultyAnswerTest fresh = new FaultyAnswerTest();
      fresh.beginExchange(false);
      fresh.receive(answer);
      fresh.channel.close();
      assertThat(answer, fresh.listener.failures, is(List.of(AttemptFailureCause.CONNECTION_LOST)));
      assertThat(answer, fresh.listener.answers, empty());
    }
  }
}
