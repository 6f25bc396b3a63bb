package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.zinniawood.ingress.CallerMemory;
import io.zinniawood.ingress.HeadCost;
import io.zinniawood.ingress.MemoryAccount;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays callers whose heads, queued requests and framing take more memory than a relay has. */
final class ConnectionMemoryTest {
  private static final int LIMIT_BYTES = 4 * 1024 * 1024;
  private static final String GET = "GET /first HTTP/1.1\r\nHost: host\r\n";
  private static final String CHUNKED =
      "POST /first HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final MemoryAccount account = new MemoryAccount(LIMIT_BYTES, 0, (used, limit) -> {});
  private final CallerMemory memory = new CallerMemory(account, 1_000);
  private final FakeCallerListener listener = new FakeCallerListener();

  private EmbeddedChannel connection() {
    return connection(memory);
  }

  private EmbeddedChannel connection(CallerMemory shared) {
    listener.connectionMemory = shared;
    CallerHandler handler = new CallerHandler(listener);
    return new EmbeddedChannel(
        new ByteArrivalHandler(handler), CallerCodec.create(listener.limits, handler), handler);
  }

  private static void receive(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private static String written(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return text.toString();
  }

  // Guards against lines that the decoder holds before a head is complete and nobody counts.
  @Test
  void headInProgressCountsUntilItsConnectionCloses() {
    EmbeddedChannel channel = connection();
    receive(channel, GET + "a:\r\n".repeat(1_000));
    assertThat(account.usedBytes(), greaterThan(1_000 * HeadCost.LINE_BYTES));
    channel.close();
    assertThat(account.usedBytes(), is(0L));
  }

  // Guards against heads that are bounded each but not together, and against refusals of others.
  @Test
  void largestConnectionGivesWayAndOrdinaryRequestsAreServed() {
    List<EmbeddedChannel> crowd = new ArrayList<>();
    for (int count = 0; count < 20; count++) {
      EmbeddedChannel channel = connection();
      receive(channel, GET + "a:\r\n".repeat(4_000));
      crowd.add(channel);
      assertThat(account.usedBytes(), lessThanOrEqualTo((long) LIMIT_BYTES));
      EmbeddedChannel ordinary = connection();
      receive(ordinary, GET + "\r\n");
      assertThat(listener.paths.size(), is(count + 1));
      ordinary.close();
    }
    List<String> refusals =
        crowd.stream().map(ConnectionMemoryTest::written).filter(text -> !text.isEmpty()).toList();
    assertThat(refusals, not(empty()));
    for (String refusal : refusals) {
      assertThat(refusal, startsWith("HTTP/1.1 503"));
      assertThat(refusal, containsString("connection: close"));
    }
  }

  // Guards against a 503 for a request that runs, and against queued heads that nobody counts.
  @Test
  void requestInProgressIsAnsweredWhenItsQueueGivesWay() {
    EmbeddedChannel queue = connection();
    String lines = GET + "a:\r\n".repeat(3_000) + "\r\n";
    receive(queue, GET + "\r\n" + lines + lines);
    assertThat(queue.config().isAutoRead(), is(false));
    receive(queue, lines.repeat(5));
    listener.answer();
    queue.runPendingTasks();
    String answer = written(queue);
    assertThat(answer, startsWith("HTTP/1.1 404"));
    assertThat(answer, containsString("connection: close"));
    assertThat(answer.split("HTTP/1.1").length, is(2));
    assertThat(listener.paths.size(), is(1));
    assertThat(account.usedBytes(), is(0L));
  }

  // Guards against idle connections that use up the descriptors, and against the close of a busy
  // one.
  @Test
  void connectionThatIsIdleLongestGivesWay() {
    CallerMemory three = new CallerMemory(account, 3);
    EmbeddedChannel answered = connection(three);
    EmbeddedChannel unused = connection(three);
    EmbeddedChannel busy = connection(three);
    receive(answered, GET + "\r\n");
    listener.answer();
    receive(busy, GET + "\r\n");
    EmbeddedChannel first = connection(three);
    assertThat(unused.isOpen(), is(false));
    assertThat(answered.isOpen() && busy.isOpen() && first.isOpen(), is(true));
    EmbeddedChannel second = connection(three);
    assertThat(answered.isOpen(), is(false));
    assertThat(busy.isOpen() && first.isOpen() && second.isOpen(), is(true));
  }

  // Guards against a limit that refuses a head which the published limits allow.
  @Test
  void headOfManyShortestLinesIsServedWhileMemoryIsNotShort() {
    EmbeddedChannel channel = connection();
    receive(channel, "\r\n" + GET + "a:\r\n".repeat(5_000) + "\r\n");
    assertThat(listener.paths.size(), is(1));
    assertThat(account.usedBytes(), greaterThan(5_000 * HeadCost.LINE_BYTES));
    listener.answer();
    assertThat(account.usedBytes(), is(0L));
    assertThat(written(channel), startsWith("HTTP/1.1 404"));
  }

  private String answerTo(String start, String repeated, int repetitions) {
    EmbeddedChannel channel = connection();
    receive(channel, start);
    for (int count = 0; count < repetitions && channel.outboundMessages().isEmpty(); count++) {
      receive(channel, repeated);
    }
    return written(channel);
  }

  // Guards against framing without content, which occupied the event loop for seconds.
  @Test
  void framingWithoutEndIsRefused() {
    assertThat(
        answerTo(CHUNKED, "1;" + "x".repeat(2_000) + "\r\nx\r\n", 100), startsWith("HTTP/1.1 400"));
    assertThat(
        answerTo(CHUNKED + "0\r\n", "a:\r\n".repeat(1_000), 100), startsWith("HTTP/1.1 400"));
    assertThat(answerTo("", "\r\n".repeat(100), 100), startsWith("HTTP/1.1 400"));
    assertThat(listener.paths, empty());
  }

  // Guards against a limit on framing that counts what small chunks need.
  @Test
  void bodyOfSmallChunksIsServed() {
    EmbeddedChannel channel = connection();
    receive(channel, CHUNKED + "1\r\nx\r\n".repeat(50_000) + "0\r\n\r\n");
    assertThat(listener.bodies.get(0).length(), is(50_000));
  }

  // Guards against thousands of requests that one read of the socket queues.
  @Test
  void requestsBeyondTheQueueAreDropped() {
    EmbeddedChannel channel = connection();
    receive(channel, (GET + "\r\n").repeat(1_000));
    listener.answer();
    channel.runPendingTasks();
    assertThat(listener.paths.size(), is(1));
    assertThat(written(channel), containsString("connection: close"));
  }
}
