package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayParameters;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.core.relay.SchedulingSettings;
import io.zinniawood.core.relay.SendOptions;
import io.zinniawood.ingress.MemoryAccount;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays callers that do not take their answers. */
final class SlowCallerTest implements RuntimeListener {
  private static final int LIMIT_BYTES = 1024 * 1024;
  private static final String REQUEST = "GET /first HTTP/1.1\r\nHost: host\r\n\r\n";

  private final EventLoop loop = new DefaultEventLoop();
  private final FakeCallerListener listener = new FakeCallerListener();
  private final List<EmbeddedChannel> channels = new ArrayList<>();

  @AfterEach
  void stop() {
    channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    loop.shutdownGracefully();
  }

  private CallerHandler caller() {
    CallerHandler handler = new CallerHandler(listener);
    channels.add(
        new EmbeddedChannel(new ByteArrivalHandler(handler), new HttpServerCodec(), handler));
    return handler;
  }

  private static void receive(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static void setWritable(EmbeddedChannel channel, boolean writable) {
    channel.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
    channel.runPendingTasks();
  }

  private static HttpResponse streamHead() {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  }

  // Guards against an endpoint that is read without end for a caller that was slow before it began.
  @Test
  void endpointIsNotReadWhileItsCallerIsSlow() {
    MemoryBudget memory =
        new MemoryBudget(64 * 1024 * 1024, 64 * 1024 * 1024, 1_000, line -> {}, System::nanoTime);
    RelayState state =
        new RelayState(
            new RelayParameters(
                new VmId("vm"),
                new DataCentreId("dc"),
                Optional.empty(),
                false,
                8_000,
                SchedulingSettings.AUTO,
                1));
    RelayRuntime runtime =
        new RelayRuntime(
            state, new FailingCodec(FailingCodec.Method.ENCODE_REQUEST), loop, memory, this);
    CallerHandler handler = caller();
    CallerExchange caller =
        new CallerExchange(new RelayRequestId(1), null, null, Unpooled.EMPTY_BUFFER, handler);
    SendOptions options = EndpointExchanges.options(1_000, true);
    EndpointExchange exchange =
        new EndpointExchange(caller, 2, new NodeAddress("10.0.0.1", 80), options);
    EmbeddedChannel endpoint = new EmbeddedChannel();
    channels.add(endpoint);
    exchange.channel(endpoint);
    setWritable(channels.get(0), false);
    runtime.streamStarted(exchange, streamHead());
    assertThat(endpoint.config().isAutoRead(), is(false));
  }

  // Guards against answers without end to a caller that sends requests and takes no answer.
  @Test
  void queuedRequestsWaitUntilTheCallerTakesItsAnswers() {
    caller();
    EmbeddedChannel channel = channels.get(0);
    setWritable(channel, false);
    receive(channel, REQUEST);
    assertThat(listener.paths, empty());
    setWritable(channel, true);
    assertThat(listener.paths, contains("/first"));
  }

  // Guards against a connection that stays open for good with requests that are never handled.
  @Test
  void callerThatTakesNoAnswerIsDisconnectedAfterTheIdleTimeout() {
    CallerHandler handler = caller();
    EmbeddedChannel channel = channels.get(0);
    setWritable(channel, false);
    receive(channel, REQUEST);
    handler.checkTimeouts(System.nanoTime() + TimeUnit.MINUTES.toNanos(2));
    assertThat(channel.isOpen(), is(false));
    assertThat(listener.closes.get(0).reason(), is(ConnectionClose.Reason.ANSWER_NOT_TAKEN));
  }

  // Guards against streams that are bounded each but not together.
  @Test
  void slowestStreamIsCutWhenUntakenStreamsFillTheirMemory() {
    long[] shortages = {0};
    MemoryAccount memory =
        new MemoryAccount(LIMIT_BYTES, LIMIT_BYTES, (used, limit) -> shortages[0]++);
    UnsentStreams unsent = new UnsentStreams(memory);
    List<CallerHandler> callers = new ArrayList<>();
    for (int quarters = 1; quarters <= 3; quarters++) {
      CallerHandler handler = caller();
      receive(channels.get(channels.size() - 1), REQUEST);
      handler.beginStream(streamHead());
      handler.writeStream(Unpooled.wrappedBuffer(new byte[LIMIT_BYTES / 4 * quarters]));
      callers.add(handler);
    }
    unsent.limit(callers);
    assertThat(
        channels.stream().map(EmbeddedChannel::isOpen).toList(), is(List.of(true, true, false)));
    assertThat(shortages[0], is(1L));
    assertThat(memory.usedBytes(), lessThanOrEqualTo((long) LIMIT_BYTES));
  }

  @Override
  public void readinessChanged(boolean ready) {}

  @Override
  public void drained() {}

  @Override
  public void decisionMade(RelayEffect.LogDecision decision) {}

  @Override
  public void streamAdvanced() {}
}
