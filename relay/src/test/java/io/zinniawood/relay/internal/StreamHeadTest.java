package io.zinniawood.relay.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
import io.zinniawood.core.fleet.FleetEndpoint;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.EndpointSign;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayParameters;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.core.relay.SchedulingSettings;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.core.route.Route;
import io.zinniawood.core.route.RouteKind;
import io.zinniawood.core.route.RouteTable;
import io.zinniawood.core.route.RoutedService;
import io.zinniawood.core.route.ServiceShare;
import io.zinniawood.relay.PlatformClient;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Plays streams that their endpoint breaks off, over real connections to the endpoint. */
final class StreamHeadTest implements RuntimeListener {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final StoreVersion VERSION = new StoreVersion(StoreEra.UNNAMED, 1);
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: host\r\n\r\n";
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  /** What endpoints give when they are asked for a sign of life. */
  private EndpointSign sign = EndpointSign.NONE;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private int timeoutMillis = 3_000;
  private boolean ticking = true;

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private RelayRuntime runtime(int endpointPort) {
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
            state,
            new FailingCodec(FailingCodec.Method.NONE),
            loop,
            new MemoryBudget(
                64 * 1024 * 1024, 64 * 1024 * 1024, 1_000, line -> {}, System::nanoTime),
            this);
    PlatformClient platform =
        (PlatformClient)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {PlatformClient.class},
                (proxy, method, arguments) -> {
                  if (method.getName().equals("confirmEndpoint")) {
                    runtime.post(
                        new RelayEvent.EndpointHeard(
                            (RelayRequestId) arguments[0], (int) arguments[1], sign));
                  }
                  return null;
                });
    runtime.start(platform, (receivers, message) -> {});
    runtime.post(new RelayEvent.RoutesAnswered(Optional.of(routes()), VERSION));
    FleetEndpoint endpoint =
        new FleetEndpoint(
            new EndpointId("e"),
            SERVICE,
            new NodeAddress("127.0.0.1", endpointPort),
            new DataCentreId("dc"),
            4,
            false,
            Optional.empty(),
            Optional.empty(),
            1,
            0,
            VERSION);
    runtime.post(new RelayEvent.EndpointsListed(List.of(endpoint), VERSION, 1));
    return runtime;
  }

  private RouteTable routes() {
    List<ServiceShare> shares = List.of(new ServiceShare(SERVICE, 1));
    Route route =
        new Route(
            "ask",
            "host",
            "/",
            RouteKind.STREAMING,
            timeoutMillis,
            500,
            0,
            1,
            shares,
            1,
            true,
            false);
    return new RouteTable(
        1,
        List.of(route),
        List.of(new RoutedService(SERVICE, 100, Optional.empty())),
        false,
        Map.of(),
        RequestLimits.DEFAULT);
  }

  private static void serveOnce(
      ServerSocket endpoint, String answer, int endDelayMillis, String end) {
    try (Socket accepted = endpoint.accept()) {
      int newlines = 0;
      while (newlines < 2) {
        int read = accepted.getInputStream().read();
        newlines = read == '\n' ? newlines + 1 : read == '\r' ? newlines : 0;
      }
      accepted.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      Thread.sleep(endDelayMillis);
      accepted.getOutputStream().write(end.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException closed) {
      // The relay closes the connection.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a request to an endpoint that gives this answer and closes; returns what is written. */
  private String writtenFor(String answer) throws Exception {
    return writtenFor(answer, 0, "");
  }

  /** As above; the endpoint sends the last part of its answer after a pause. */
  private String writtenFor(String answer, int endDelayMillis, String end) throws Exception {
    try (ServerSocket endpoint = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread serving = new Thread(() -> serveOnce(endpoint, answer, endDelayMillis, end));
      serving.start();
      RelayRuntime runtime = loop.submit(() -> runtime(endpoint.getLocalPort())).get();
      EmbeddedChannel caller = loop.submit(() -> connect(runtime)).get();
      StringBuilder written = new StringBuilder();
      long endNanos = System.nanoTime() + MAX_WAIT_NANOS;
      boolean ended = false;
      while (!ended && System.nanoTime() - endNanos < 0) {
        ended = loop.submit(() -> collect(runtime, caller, written)).get();
      }
      return written.toString();
    }
  }

  private static EmbeddedChannel connect(RelayRuntime runtime) {
    CallerHandler handler = new CallerHandler(runtime);
    EmbeddedChannel caller =
        new EmbeddedChannel(new ByteArrivalHandler(handler), new HttpServerCodec(), handler);
    caller.writeInbound(Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII));
    return caller;
  }

  private boolean collect(RelayRuntime runtime, EmbeddedChannel caller, StringBuilder written) {
    if (ticking) {
      runtime.tick();
    }
    for (ByteBuf part = caller.readOutbound(); part != null; part = caller.readOutbound()) {
      written.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    // A request that arrives on a late event loop is decided on some milliseconds later.
    return runtime.state().openRequests() == 0 && (written.length() > 0 || !caller.isOpen());
  }

  // The head had gone to the caller, so a stream that ended before its first event was broken off.
  @Test
  void streamThatEndsBeforeItsFirstEventIsAnswered() throws Exception {
    assertThat(writtenFor(HEAD), startsWith("HTTP/1.1 502"));
    assertThat(writtenFor(HEAD + "0\r\n\r\n"), startsWith("HTTP/1.1 502"));
  }

  @Test
  void headIsWrittenWithTheFirstEvent() throws Exception {
    String written = writtenFor(HEAD + "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    assertThat(written, startsWith("HTTP/1.1 200"));
    assertThat(written, containsString("data: a"));
    assertThat(written, not(containsString("502")));
  }

  // An endpoint was killed within a stream without chunks, which its caller got as a whole one.
  @Test
  void streamWithoutChunksEndsOnlyIfItsEndpointOutlivesIt() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    String cut = writtenFor(head + EVENT);
    assertThat(cut, containsString(EVENT));
    assertThat(cut, not(endsWith(LAST_CHUNK)));
    sign = EndpointSign.ALIVE;
    assertThat(writtenFor(head + EVENT), endsWith(LAST_CHUNK));
  }

  // A stream that its endpoint cut at its time limit, in good form, counted as whole.
  @Test
  void streamThatEndsAfterItsDeadlineIsNotComplete() throws Exception {
    timeoutMillis = 300;
    ticking = false;
    String written = writtenFor(HEAD + "f\r\nid: 1\ndata: a\n\n\r\n", 400, "0\r\n\r\n");
    assertThat(written, containsString("data: a"));
    assertThat(written, not(endsWith(LAST_CHUNK)));
  }

  // A failed endpoint's head went out with a comment, and the caller took the next answer for its.
  @Test
  void headIsNotWrittenWithAnEventThatDoesNotCountAsBegun() throws Exception {
    String written = writtenFor(HEAD + "9\r\n: start\n\n\r\n");
    assertThat(written, startsWith("HTTP/1.1 502"));
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
