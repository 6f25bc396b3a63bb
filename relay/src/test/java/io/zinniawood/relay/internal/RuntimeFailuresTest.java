package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayParameters;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.core.relay.SchedulingSettings;
import io.zinniawood.core.relay.SendOptions;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import io.zinniawood.core.route.ServiceShare;
import io.zinniawood.relay.PlatformClient;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays requests to a relay part of which fails with an exception. */
final class RuntimeFailuresTest implements RuntimeListener {
  private static final ServiceName SERVICE = new ServiceName("service");

  private static final StoreVersion VERSION = new StoreVersion(StoreEra.UNNAMED, 1);
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: host\r\n\r\n";

  private final EventLoop loop = new DefaultEventLoop();
  private final List<String> entries = new ArrayList<>();

  @AfterEach
  void stopLoop() {
    loop.shutdownGracefully();
  }

  private RelayRuntime runtime(FailingCodec codec) {
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
    MemoryBudget memory =
        new MemoryBudget(64 * 1024 * 1024, 64 * 1024 * 1024, 1_000, line -> {}, System::nanoTime);
    RelayRuntime runtime = new RelayRuntime(state, codec, loop, memory, this);
    PlatformClient platform =
        (PlatformClient)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {PlatformClient.class},
                (proxy, method, arguments) -> null);
    runtime.start(platform, (receivers, message) -> {});
    runtime.post(new RelayEvent.RoutesAnswered(Optional.of(routes()), VERSION));
    runtime.post(new RelayEvent.EndpointsListed(List.of(endpoint()), VERSION, 1));
    return runtime;
  }

  private static RouteTable routes() {
    List<ServiceShare> shares = List.of(new ServiceShare(SERVICE, 1));
    Route route =
        new Route(
            "book", "host", "/", RouteKind.NON_IDEMPOTENT, 800, 500, 0, 1, shares, 1, true, false);
    return new RouteTable(
        1,
        List.of(route),
        List.of(new RoutedService(SERVICE, 100, Optional.empty())),
        false,
        Map.of(),
        RequestLimits.DEFAULT);
  }

  private static FleetEndpoint endpoint() {
    return new FleetEndpoint(
        new EndpointId("e"),
        SERVICE,
        new NodeAddress("10.0.0.1", 80),
        new DataCentreId("dc"),
        4,
        false,
        Optional.empty(),
        Optional.empty(),
        1,
        0,
        VERSION);
  }

  private static EndpointExchange beginStream(EmbeddedChannel channel, CallerHandler handler) {
    channel.writeInbound(Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII));
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x");
    CallerRequest request =
        new CallerRequest(
            Optional.empty(),
            "host",
            "/x",
            Optional.empty(),
            OptionalLong.empty(),
            0,
            0,
            0,
            List.of());
    CallerExchange caller =
        new CallerExchange(
            new RelayRequestId(1_000), head, request, Unpooled.EMPTY_BUFFER, handler);
    handler.beginStream(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    caller.markHeadWritten();
    SendOptions options = EndpointExchanges.options(1_000, true);
    EndpointExchange exchange =
        new EndpointExchange(caller, 1, new NodeAddress("10.0.0.1", 80), options);
    exchange.markRelayed();
    return exchange;
  }

  // An event that could not be written was left out, and the answer went on and looked complete.
  @Test
  void streamIsBrokenOffWhenAnEventCannotBeWritten() {
    RelayRuntime runtime = runtime(new FailingCodec(FailingCodec.Method.NONE));
    CallerHandler handler = new CallerHandler(new FakeCallerListener());
    FailingWrites writes = new FailingWrites();
    EmbeddedChannel channel =
        new EmbeddedChannel(
            writes, new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
    EndpointExchange exchange = beginStream(channel, handler);
    writes.failing = true;
    runtime.streamContentReceived(
        exchange, Unpooled.copiedBuffer("id: 1\ndata: a\n\n", StandardCharsets.US_ASCII));
    assertThat(channel.isOpen(), is(false));
    assertThat(exchange.ended(), is(true));
    channel.finishAndReleaseAll();
  }

  // A stream whose end could not be written had no end, and its connection was never used again.
  @Test
  void connectionClosesWhenTheEndOfItsStreamCannotBeWritten() {
    RelayRuntime runtime = runtime(new FailingCodec(FailingCodec.Method.NONE));
    CallerHandler handler = new CallerHandler(new FakeCallerListener());
    FailingWrites writes = new FailingWrites();
    EmbeddedChannel channel =
        new EmbeddedChannel(
            writes, new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
    EndpointExchange exchange = beginStream(channel, handler);
    runtime.streamContentReceived(
        exchange, Unpooled.copiedBuffer("id: 1\ndata: a\n\n", StandardCharsets.US_ASCII));
    writes.failing = true;
    runtime.streamCompleted(exchange);
    assertThat(channel.isOpen(), is(false));
    channel.finishAndReleaseAll();
  }

  // A refusal that could not be written left its caller waiting on an open connection.
  @Test
  void connectionClosesWhenItsRefusalCannotBeWritten() {
    CallerHandler handler =
        new CallerHandler(runtime(new FailingCodec(FailingCodec.Method.DECODE_REQUEST)));
    FailingWrites writes = new FailingWrites();
    writes.failing = true;
    EmbeddedChannel channel =
        new EmbeddedChannel(
            writes, new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
    channel.writeInbound(Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII));
    channel.runPendingTasks();
    channel.advanceTimeBy(2, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(channel.isOpen(), is(false));
    channel.finishAndReleaseAll();
  }

  // Guards against events that are held back until the next attempt has some, or lost if there is
  // none, because the end of the attempt was in the same read.
  @Test
  void eventsAreSentBeforeTheAttemptFails() {
    RelayRuntime runtime = runtime(new FailingCodec(FailingCodec.Method.NONE));
    CallerHandler handler = new CallerHandler(new FakeCallerListener());
    EmbeddedChannel channel =
        new EmbeddedChannel(new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
    EndpointExchange exchange = beginStream(channel, handler);
    runtime.streamContentReceived(
        exchange, Unpooled.copiedBuffer("id: 1\ndata: a\n\nid: 2\nda", StandardCharsets.US_ASCII));
    runtime.streamCompleted(exchange);
    StringBuilder written = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      written.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    assertThat(written.toString(), containsString("data: a"));
    assertThat(written.toString(), not(containsString("id: 2")));
    channel.finishAndReleaseAll();
  }

  // An exception closed the connection: the request had neither an answer nor a refusal.
  @ParameterizedTest
  @EnumSource(value = FailingCodec.Method.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void requestOfFailedEffectIsRefused(FailingCodec.Method failing) {
    requestIsRefused(failing, new FailingCodec(failing));
  }

  // A connection without memory to read closed without an answer to its request.
  @Test
  void waitingRequestIsRefusedWhenMemoryToReadIsLacking() throws Exception {
    // The loop sends a request that was received late itself.
    loop.submit(this::readFailsWhileRequestWaits).get();
  }

  private void readFailsWhileRequestWaits() {
    RelayRuntime runtime = runtime(new FailingCodec(FailingCodec.Method.NONE));
    runtime.post(new RelayEvent.EndpointsListed(List.of(), VERSION, 1));
    CallerHandler handler = new CallerHandler(runtime);
    EmbeddedChannel channel =
        new EmbeddedChannel(new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
    channel.writeInbound(Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII));
    channel.pipeline().fireExceptionCaught(new OutOfMemoryError("Cannot reserve 4096 bytes"));
    ByteBuf answer = channel.readOutbound();
    assertThat(answer, notNullValue());
    assertThat(answer.toString(StandardCharsets.US_ASCII), startsWith("HTTP/1.1 503"));
    answer.release();
    assertThat(runtime.state().openRequests(), is(0));
    channel.finishAndReleaseAll();
  }

  // The check of an endpoint stayed pending, so that an avoided endpoint was never used again.
  @Test
  void checkOfAnEndpointThatCannotBeSentCountsAsUnanswered() {
    FleetEndpoint endpoint = endpoint();
    assertThat(
        FailedEffects.resultOf(
            new RelayEffect.ReadReport(endpoint.id(), endpoint.address()), send -> false),
        is(Optional.of(new RelayEvent.ReportMissing(endpoint.id()))));
  }

  // An error, such as a lack of direct memory, closed the connection in the same way.
  @ParameterizedTest
  @EnumSource(value = FailingCodec.Method.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void requestOfEffectThatFailsWithAnErrorIsRefused(FailingCodec.Method failing) {
    requestIsRefused(
        failing,
        new FailingCodec(
            failing,
            () -> {
              throw new OutOfMemoryError("Cannot reserve 4096 bytes of direct buffer memory");
            }));
  }

  private void requestIsRefused(FailingCodec.Method failing, FailingCodec codec) {
    CallerHandler handler = new CallerHandler(runtime(codec));
    EmbeddedChannel channel =
        new EmbeddedChannel(new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
    channel.writeInbound(Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII));
    channel.runPendingTasks();
    ByteBuf answer = channel.readOutbound();
    assertThat(answer, notNullValue());
    assertThat(answer.toString(StandardCharsets.US_ASCII), startsWith("HTTP/1.1 503"));
    answer.release();
    String entry =
        failing == FailingCodec.Method.DECODE_REQUEST ? "request-undecodable" : "effect-failed";
    assertThat(entries, hasItem(entry));
    channel.finishAndReleaseAll();
  }

  @Override
  public void readinessChanged(boolean ready) {}

  @Override
  public void drained() {}

  @Override
  public void decisionMade(RelayEffect.LogDecision decision) {
    entries.add(decision.decision().event());
  }

  @Override
  public void streamAdvanced() {}
}
