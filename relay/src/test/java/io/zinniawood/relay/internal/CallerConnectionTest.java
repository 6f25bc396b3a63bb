package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.route.RequestLimits;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Plays connections of callers byte by byte. */
final class CallerConnectionTest {
  private static final String REQUEST = "GET /first HTTP/1.1\r\nHost: host\r\n\r\n";
  private static final String QUEUED = "GET /second HTTP/1.1\r\nHost: host\r\n\r\n";
  private static final long LONG_IDLE_NANOS = TimeUnit.MINUTES.toNanos(2);

  private final FakeCallerListener listener = new FakeCallerListener();
  private final CallerHandler handler = new CallerHandler(listener);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new ByteArrivalHandler(handler), CallerCodec.create(listener.limits, handler), handler);

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private void receive(String text) {
    if (!text.isEmpty()) {
      channel.writeInbound(bytes(text));
    }
  }

  private String written() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return text.toString();
  }

  /** A connection's history and the close that must be reported for it. */
  private record Case(
      String received,
      Consumer<CallerConnectionTest> end,
      ConnectionClose.Reason reason,
      boolean requestOpen,
      boolean requestPartlyRead,
      int queuedRequests) {}

  private static List<Case> cases() {
    return List.of(
        new Case(
            REQUEST,
            test -> {
              test.channel.pipeline().fireExceptionCaught(new IllegalStateException("x"));
              test.listener.answer();
            },
            ConnectionClose.Reason.HANDLER_FAILED,
            true,
            false,
            0),
        new Case(
            REQUEST + QUEUED,
            test -> test.channel.close(),
            ConnectionClose.Reason.CALLER_LEFT_QUEUE,
            true,
            false,
            1),
        new Case(
            REQUEST,
            test -> test.handler.abort(),
            ConnectionClose.Reason.ANSWER_ABORTED,
            true,
            false,
            0),
        new Case(
            "GET /first HTTP/1.1\r\n",
            test -> test.handler.checkTimeouts(System.nanoTime() + LONG_IDLE_NANOS),
            ConnectionClose.Reason.REFUSED_EARLY,
            false,
            true,
            0),
        new Case(
            "",
            test -> {
              test.handler.closeIfQuiet(System.nanoTime(), 0);
              test.channel.advanceTimeBy(1, TimeUnit.SECONDS);
              test.channel.runScheduledPendingTasks();
            },
            ConnectionClose.Reason.DRAINING,
            false,
            false,
            0));
  }

  // Without a line, a request that got no answer cannot be told from one that never arrived.
  @Test
  void closesByTheRelayAreReportedWithWhatWasOpen() {
    for (Case expected : cases()) {
      CallerConnectionTest test = new CallerConnectionTest();
      test.receive(expected.received());
      expected.end().accept(test);
      assertThat(test.listener.closes.size(), is(1));
      ConnectionClose close = test.listener.closes.get(0);
      assertThat(close.reason(), is(expected.reason()));
      assertThat(close.requestOpen(), is(expected.requestOpen()));
      assertThat(close.requestPartlyRead(), is(expected.requestPartlyRead()));
      assertThat(close.queuedRequests(), is(expected.queuedRequests()));
      test.channel.advanceTimeBy(2, TimeUnit.SECONDS);
      test.channel.runScheduledPendingTasks();
      assertThat(test.channel.isOpen(), is(false));
    }
  }

  @Test
  void closesByTheCallerAreNotReported() {
    receive(REQUEST);
    listener.answer();
    assertThat(written().startsWith("HTTP/1.1 404"), is(true));
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
    assertThat(channel.isOpen(), is(false));
    assertThat(listener.closes, empty());
  }

  // The rest of a queued body was handled before its head and dropped: no answer, no refusal.
  @Test
  void contentThatArrivesBeforeTheQueuedHeadIsHandledKeepsItsOrder() {
    receive(REQUEST + "POST /second HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    listener.answer();
    receive("cd");
    assertThat(listener.bodies, is(List.of("", "abcd")));
  }

  // A process that drained dropped whole requests that were queued behind the one in progress.
  @Test
  void queuedRequestsAreAnsweredBeforeTheConnectionOfDrainingProcessCloses() {
    receive(REQUEST + QUEUED);
    listener.draining = true;
    listener.answer();
    channel.runPendingTasks();
    assertThat(listener.paths, is(List.of("/first", "/second")));
    listener.answer();
    assertThat(written().split("HTTP/1.1 404").length, is(3));
    assertThat(channel.isOpen(), is(false));
    assertThat(listener.closes, empty());
  }

  private void checkTimeoutsAfter(long seconds) {
    handler.checkTimeouts(System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
    channel.advanceTimeBy(2, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
  }

  // A lowered idle timeout closed connections on which callers were about to send.
  @Test
  void connectionThatIsIdleKeepsItsTimeoutWhenTheConfigurationLowersIt() {
    receive(REQUEST);
    listener.answer();
    listener.limits = new RequestLimits(16_384, 1_048_576, 5_000, 1_000);
    checkTimeoutsAfter(5);
    assertThat(channel.isOpen(), is(true));
    checkTimeoutsAfter(40);
    assertThat(channel.isOpen(), is(false));
    assertThat(listener.closes.get(0).reason(), is(ConnectionClose.Reason.IDLE_TIMEOUT));
  }

  // A request whose bytes had arrived was lost to the sweep for idle connections.
  @Test
  void requestThatHasArrivedIsReadBeforeAnIdleConnectionCloses() {
    receive(REQUEST);
    listener.answer();
    handler.checkTimeouts(System.nanoTime() + LONG_IDLE_NANOS);
    receive(QUEUED);
    channel.advanceTimeBy(2, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(listener.paths, is(List.of("/first", "/second")));
    assertThat(channel.isOpen(), is(true));
  }

  // A drain on a late event loop reset connections on which a whole request had arrived.
  @Test
  void requestThatHasArrivedIsReadBeforeTheDrainClosesItsConnection() {
    receive(REQUEST);
    listener.answer();
    handler.closeIfQuiet(System.nanoTime(), 0);
    receive(QUEUED);
    channel.advanceTimeBy(2, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(listener.paths, is(List.of("/first", "/second")));
    assertThat(channel.isOpen(), is(true));
  }

  // A failure behind a request in progress closed the connection without an answer to any request.
  @Test
  void requestsOnConnectionThatFailsAreAnsweredOrRefusedBeforeItCloses() {
    receive(REQUEST + QUEUED);
    channel.pipeline().fireExceptionCaught(new IllegalStateException("x"));
    listener.answer();
    String answers = written();
    assertThat(answers, startsWith("HTTP/1.1 404"));
    assertThat(answers.split("HTTP/1.1 503").length, is(2));
    assertThat(listener.paths, is(List.of("/first")));
    closesSoon();
  }

  // A request whose handling failed before it was decided on had neither an answer nor a refusal.
  @Test
  void requestWhoseHandlingFailsIsRefused() {
    listener.failing = true;
    receive(REQUEST);
    assertThat(written(), startsWith("HTTP/1.1 503"));
    closesSoon();
  }

  // The same, for a request that was queued behind another one.
  @Test
  void queuedRequestWhoseHandlingFailsIsRefused() {
    receive(REQUEST + QUEUED);
    listener.failing = true;
    listener.answer();
    channel.runPendingTasks();
    assertThat(written().split("HTTP/1.1 503").length, is(2));
    closesSoon();
  }

  // The same, for a request of which a part had arrived.
  @Test
  void requestThatIsPartlyReadIsRefusedWhenItsConnectionFails() {
    receive("POST /first HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    channel.pipeline().fireExceptionCaught(new IllegalStateException("x"));
    assertThat(written(), startsWith("HTTP/1.1 503"));
    closesSoon();
  }

  // Netty closes a connection for which it has no memory; a request in progress got no answer.
  @Test
  void requestInProgressEndsAtOnceWhenMemoryToReadIsLacking() {
    receive(REQUEST);
    channel.pipeline().fireExceptionCaught(new OutOfMemoryError("Cannot reserve 4096 bytes"));
    assertThat(listener.failed, is(List.of(new RelayRequestId(1))));
  }

  private static String withHeaderOf(int bytes) {
    return "GET /large HTTP/1.1\r\nHost: host\r\nX-Filler: " + "x".repeat(bytes) + "\r\n\r\n";
  }

  // A raised limit did not hold for open connections, which refused what new ones served.
  @Test
  void raisedHeaderLimitHoldsForOpenConnections() {
    receive(REQUEST);
    listener.answer();
    listener.limits = new RequestLimits(40_000, 1_048_576, 5_000, 30_000);
    receive(withHeaderOf(20_000));
    assertThat(listener.paths, is(List.of("/first", "/large")));
  }

  @Test
  void loweredHeaderLimitHoldsForOpenConnections() {
    listener.limits = new RequestLimits(1_000, 1_048_576, 5_000, 30_000);
    receive(withHeaderOf(2_000));
    assertThat(written(), startsWith("HTTP/1.1 431"));
    assertThat(listener.paths, empty());
  }

  private void closesSoon() {
    channel.advanceTimeBy(2, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(channel.isOpen(), is(false));
  }

  // A close while the caller still sends becomes a reset, which takes the refusal away from it.
  @Test
  void inputIsDiscardedForSomeTimeAfterAnEarlyRefusal() {
    receive("POST /first HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
    assertThat(written(), startsWith("HTTP/1.1 413"));
    assertThat(channel.isOpen(), is(true));
    receive("x".repeat(1_000));
    channel.advanceTimeBy(2, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(channel.isOpen(), is(false));
    assertThat(listener.bodies, empty());
  }
}
