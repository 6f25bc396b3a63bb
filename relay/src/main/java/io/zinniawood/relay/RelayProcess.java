package io.zinniawood.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.PlatformDependent;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.processor.ProcessorGuard;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.core.relay.DecisionFailure;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayParameters;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.ingress.AdminConnections;
import io.zinniawood.ingress.AdminInputLimit;
import io.zinniawood.ingress.DescriptorLimit;
import io.zinniawood.relay.internal.AdminHandler;
import io.zinniawood.relay.internal.ByteArrivalHandler;
import io.zinniawood.relay.internal.CallerCodec;
import io.zinniawood.relay.internal.CallerHandler;
import io.zinniawood.relay.internal.ConnectionClosing;
import io.zinniawood.relay.internal.ContainedTask;
import io.zinniawood.relay.internal.MemoryBudget;
import io.zinniawood.relay.internal.MemoryUser;
import io.zinniawood.relay.internal.PeerChannel;
import io.zinniawood.relay.internal.PeerSender;
import io.zinniawood.relay.internal.RecentText;
import io.zinniawood.relay.internal.RelayRuntime;
import io.zinniawood.relay.internal.RuntimeListener;
import io.zinniawood.telemetry.DecisionLog;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A relay process: its listening sockets, event loop and timers. */
public final class RelayProcess implements AutoCloseable {
  /** Tick interval; limits how late an expired deadline or a stalled stream is detected. */
  private static final long TICK_MILLIS = ProcessorGuard.TICK_INTERVAL_MILLIS;

  /** Interval between checks for timeouts of callers' connections. */
  private static final long TIMEOUT_CHECK_MILLIS = 500;

  /** Bounds what the system takes of answers that are not read; metrics have about 10 KB. */
  private static final int ADMIN_SEND_BUFFER_BYTES = 64 * 1024;

  private static final int ACCEPT_BACKLOG = 1_024;

  /** The connection of the caller, and that to the endpoint of its request. */
  private static final int DESCRIPTORS_PER_CALLER = 2;

  private final RelayAddresses addresses;
  private final Optional<NodeAddress> peerAddress;
  private final DecisionLog log;
  private final RelayMetrics metrics;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop;
  private final MemoryBudget memory;
  private final RelayRuntime runtime;
  private final Set<CallerHandler> callers = new HashSet<>();
  private final AdminConnections adminConnections = new AdminConnections();
  private final ConnectionClosing closing;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final RecentText metricsText;

  /** Number of callers' connections that are accepted at once. */
  private final ServerChannelRecvByteBufAllocator callerAccepts =
      new ServerChannelRecvByteBufAllocator();

  private Channel callerListener;
  private boolean ready;

  /**
   * Creates a relay that does not listen yet.
   *
   * @param parameters start parameters of this relay
   * @param addresses addresses to listen on for HTTP
   * @param codec codec of the platform's headers
   * @param log decision log; closed with the process
   */
  public RelayProcess(
      RelayParameters parameters, RelayAddresses addresses, HeaderCodec codec, DecisionLog log) {
    this.addresses = addresses;
    this.peerAddress = parameters.peerAddress();
    this.log = log;
    this.loop = (EventLoop) group.next();
    DescriptorLimit descriptors = DescriptorLimit.ofProcess(DESCRIPTORS_PER_CALLER);
    callerAccepts.maxMessagesPerRead(descriptors.maxAccepted());
    this.memory =
        new MemoryBudget(
            PlatformDependent.maxDirectMemory(),
            Runtime.getRuntime().maxMemory(),
            descriptors.maxConnections(),
            this::logDecision,
            System::nanoTime);
    this.runtime =
        new RelayRuntime(new RelayState(parameters), codec, loop, memory, new ProcessListener());
    this.metrics = new RelayMetrics(runtime.state(), memory, log);
    this.metricsText = new RecentText(metrics::render, System::nanoTime);
    this.closing =
        new ConnectionClosing(
            loop, parameters.gracePeriodMillis(), callers, this::connectionsClosed);
  }

  /**
   * Starts listening and starts reading the platform's store.
   *
   * @param platform creates the client of the platform; called on the event loop
   * @throws InterruptedException if the thread is interrupted while the ports are bound
   */
  public void start(Function<ControlClient, PlatformClient> platform) throws InterruptedException {
    bind(addresses.admin(), new ServerChannelRecvByteBufAllocator(), new AdminInitializer());
    callerListener = bind(addresses.callers(), callerAccepts, new CallerInitializer());
    PeerSender peerSender = bindPeers();
    ControlClient client =
        new ControlClient(loop, memory.account(MemoryUser.CONTROL_ANSWERS), this::logFailure);
    loop.execute(() -> runtime.start(platform.apply(client), peerSender));
    loop.scheduleAtFixedRate(
        new ContainedTask("tick", runtime::tick, this::logFailure),
        0,
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        new ContainedTask("caller-timeouts", this::checkCallerTimeouts, this::logFailure),
        TIMEOUT_CHECK_MILLIS,
        TIMEOUT_CHECK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private PeerSender bindPeers() throws InterruptedException {
    if (peerAddress.isEmpty()) {
      return (receivers, message) -> {};
    }
    PeerChannel channel =
        PeerChannel.bind(
            loop,
            peerAddress.get(),
            (message, sender) -> runtime.post(new RelayEvent.PeerMessageReceived(message, sender)),
            sender -> log.add("peer-message-ignored", List.of("sender", sender.toString())),
            this::logFailure);
    return channel::send;
  }

  private Channel bind(
      NodeAddress address,
      ServerChannelRecvByteBufAllocator accepts,
      ChannelInitializer<Channel> initializer)
      throws InterruptedException {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, accepts)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer)
        .bind(address.host(), address.port())
        .sync()
        .channel();
  }

  private void checkCallerTimeouts() {
    long nowNanos = System.nanoTime();
    for (CallerHandler caller : List.copyOf(callers)) {
      try {
        caller.checkTimeouts(nowNanos);
      } catch (RuntimeException | Error failure) {
        caller.fail(failure);
      }
    }
  }

  private void logFailure(String event, String subject, Throwable failure) {
    logDecision(DecisionFailure.describe(event, subject, failure));
  }

  private void logDecision(Decision decision) {
    metrics.countDecision(decision);
    if (decision.suspicious()) {
      log.addPriority(decision.event(), decision.fields());
    } else {
      log.add(decision.event(), decision.fields());
    }
  }

  /** Starts draining: fails readiness, completes open requests, then stops. */
  public void terminate() {
    loop.execute(
        () -> {
          closing.terminationRequested();
          runtime.post(new RelayEvent.TerminationRequested());
        });
  }

  private void connectionsClosed(ConnectionClosing.Remainder left) {
    log.add(
        "connections-closed",
        List.of(
            "connections",
            left.connections(),
            "openRequests",
            left.openRequests(),
            "unsentBytes",
            left.unsentBytes()));
    stopped.countDown();
  }

  /** Blocks until all open requests are complete after {@link #terminate}. */
  public void awaitStopped() throws InterruptedException {
    stopped.await();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    log.close();
  }

  private final class ProcessListener implements RuntimeListener {
    @Override
    public void readinessChanged(boolean nowReady) {
      ready = nowReady;
    }

    @Override
    public void drained() {
      // A later turn of the event loop accepts what is in the queue before it closes the port. One
      // read empties the queue, so that closing the port loses no accepted connection.
      callerAccepts.maxMessagesPerRead(ACCEPT_BACKLOG);
      loop.schedule(
          () -> callerListener.close().addListener(closed -> closing.start()),
          1,
          TimeUnit.MILLISECONDS);
    }

    @Override
    public void decisionMade(RelayEffect.LogDecision decision) {
      logDecision(decision.decision());
    }

    @Override
    public void streamAdvanced() {
      metrics.countStreamEvent();
    }
  }

  private final class CallerInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      CallerHandler caller = new CallerHandler(runtime);
      callers.add(caller);
      channel.closeFuture().addListener(closed -> callers.remove(caller));
      channel
          .pipeline()
          .addLast(new ByteArrivalHandler(caller))
          .addLast(CallerCodec.create(runtime.limits(), caller))
          .addLast(caller);
    }
  }

  private final class AdminInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      adminConnections.opened(channel);
      channel.config().setOption(ChannelOption.SO_SNDBUF, ADMIN_SEND_BUFFER_BYTES);
      channel
          .pipeline()
          .addLast(new AdminInputLimit())
          .addLast(AdminInputLimit.codec())
          .addLast(new AdminHandler(() -> ready, metricsText, RelayProcess.this::logFailure));
    }
  }
}
