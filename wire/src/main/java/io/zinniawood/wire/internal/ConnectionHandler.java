package io.zinniawood.wire.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.Generation;
import io.zinniawood.core.id.Incarnation;
import io.zinniawood.core.message.Message;
import io.zinniawood.core.model.VmRole;
import io.zinniawood.wire.WireConnection;
import io.zinniawood.wire.WireError;
import io.zinniawood.wire.WireListener;
import io.zinniawood.wire.WireListener.CloseReason;
import io.zinniawood.wire.WirePeer;
import io.zinniawood.wire.generated.WireProto;
import io.zinniawood.wire.generated.WireProto.Envelope;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Performs the handshake and liveness probes of a connection and passes messages to the listener.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<Envelope>
    implements WireConnection {
  static final int PROTOCOL_VERSION = 1;

  private static final Logger LOGGER = System.getLogger(ConnectionHandler.class.getName());

  /** Number of unsent bytes above which the connection of a slow reader is closed. */
  private static final long MAX_UNSENT_BYTES = 32L * 1024 * 1024;

  private final ProbeLimit probeLimit = new ProbeLimit();
  private final TransportContext transport;
  private final ConnectionSide side;
  private final WireListener listener;
  private final Consumer<Either<WireError, WireConnection>> onHandshake;
  private CloseReason closeReason = CloseReason.CLOSED;
  private String handshakeFailure = "connection was closed before the handshake completed";
  private volatile Channel channel;
  private volatile WirePeer peer;
  private LivenessProbe probe;
  private Future<?> nextCheck;

  ConnectionHandler(
      TransportContext transport,
      ConnectionSide side,
      WireListener listener,
      Consumer<Either<WireError, WireConnection>> onHandshake) {
    this.transport = transport;
    this.side = side;
    this.listener = listener;
    this.onHandshake = onHandshake;
  }

  @Override
  public WirePeer peer() {
    return peer;
  }

  @Override
  public void send(Message message) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      return;
    }
    if (open.bytesBeforeWritable() > MAX_UNSENT_BYTES) {
      LOGGER.log(
          Level.WARNING,
          "closing connection to peer {0}: too many unsent bytes, the peer does not read",
          peer.nodeId());
      open.close();
      return;
    }
    Envelope envelope = MessageEncoder.encode(message, transport.generation().get());
    open.writeAndFlush(envelope)
        .addListener(
            result -> {
              if (result.cause() instanceof io.netty.handler.codec.EncoderException invalid) {
                LOGGER.log(Level.ERROR, "closing connection: cannot encode a message", invalid);
                open.close();
              }
            });
    if (open.eventLoop().inEventLoop()) {
      recordMessage();
    } else {
      open.eventLoop().execute(this::recordMessage);
    }
  }

  @Override
  public void close() {
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    transport.probeBudget().connectionOpened();
    context.writeAndFlush(
        Envelope.newBuilder()
            .setGeneration(transport.generation().get().value())
            .setHello(encodeHello(transport.self()))
            .build());
    context
        .executor()
        .schedule(
            () -> onHandshakeTimeout(context),
            transport.timing().handshakeTimeoutMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void onHandshakeTimeout(ChannelHandlerContext context) {
    if (peer == null) {
      handshakeFailure =
          "handshake was not completed within %d ms"
              .formatted(transport.timing().handshakeTimeoutMillis());
      context.close();
    }
  }

  private static WireProto.Hello encodeHello(WirePeer self) {
    WireProto.Hello.Builder builder =
        WireProto.Hello.newBuilder()
            .setProtocolVersion(PROTOCOL_VERSION)
            .setNodeId(self.nodeId())
            .setRole(EnumCodec.encode(WireProto.VmRole.Kind.class, self.role()))
            .setIncarnation(self.incarnation().value())
            .setDataCentre(self.dataCentre().value());
    self.agent().forEach(agent -> builder.setAgent(ValueEncoder.agent(agent)));
    return builder.build();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
    if (peer == null) {
      completeHandshake(context, envelope);
      return;
    }
    probe.onRead(transport.clockNanos().getAsLong());
    switch (envelope.getBodyCase()) {
      case PROBE:
        acknowledge(context, envelope.getProbe());
        break;
      case PROBE_ACK:
        break;
      default:
        receiveMessage(context, envelope);
    }
  }

  private void acknowledge(ChannelHandlerContext context, WireProto.Probe received) {
    if (!probeLimit.allows(transport.clockNanos().getAsLong())) {
      closeFaulty(
          context, "more than %d probes in a second".formatted(ProbeLimit.MAX_PROBES_PER_SECOND));
      return;
    }
    context.writeAndFlush(
        Envelope.newBuilder()
            .setGeneration(transport.generation().get().value())
            .setProbeAck(received)
            .build());
  }

  private void closeFaulty(ChannelHandlerContext context, String fault) {
    if (closeReason == CloseReason.CLOSED) {
      LOGGER.log(Level.WARNING, "closing connection to peer {0}: {1}", peer.nodeId(), fault);
      closeReason = CloseReason.PROTOCOL_ERROR;
      context.close();
    }
  }

  private void receiveMessage(ChannelHandlerContext context, Envelope envelope) {
    recordMessage();
    Either<WireError, Message> message = MessageDecoder.decode(envelope);
    if (message.isLeft()) {
      closeFaulty(context, message.getLeft().detail());
      return;
    }
    listener.onMessage(this, message.get(), new Generation(envelope.getGeneration()));
  }

  private void completeHandshake(ChannelHandlerContext context, Envelope envelope) {
    WireProto.Hello hello = envelope.getHello();
    if (!envelope.hasHello() || hello.getProtocolVersion() != PROTOCOL_VERSION) {
      handshakeFailure =
          "expected a handshake of protocol version %d, found %s of version %d"
              .formatted(PROTOCOL_VERSION, envelope.getBodyCase(), hello.getProtocolVersion());
      context.close();
      return;
    }
    try {
      peer = peer(hello);
    } catch (DecodeException | IllegalArgumentException invalid) {
      handshakeFailure = "invalid handshake: " + invalid.getMessage();
      context.close();
      return;
    }
    context.pipeline().get(EnvelopeCodec.class).handshakeCompleted();
    long nowNanos = transport.clockNanos().getAsLong();
    probe =
        new LivenessProbe(
            transport.timing(),
            transport.probeBudget(),
            side,
            nowNanos,
            sequence -> sendProbe(context, sequence),
            () -> closeSilent(context));
    scheduleCheck(nowNanos);
    listener.onOpened(this);
    onHandshake.accept(Either.right(this));
  }

  private static WirePeer peer(WireProto.Hello hello) {
    return new WirePeer(
        hello.getNodeId(),
        EnumCodec.decode(VmRole.class, hello.getRole()),
        new Incarnation(hello.getIncarnation()),
        new DataCentreId(hello.getDataCentre()),
        Option.when(hello.hasAgent(), () -> ValueDecoder.agent(hello.getAgent())));
  }

  private void sendProbe(ChannelHandlerContext context, long sequence) {
    context.writeAndFlush(
        Envelope.newBuilder()
            .setGeneration(transport.generation().get().value())
            .setProbe(WireProto.Probe.newBuilder().setSequence(sequence))
            .build());
  }

  private void closeSilent(ChannelHandlerContext context) {
    closeReason = CloseReason.SILENT;
    context.close();
  }

  private void recordMessage() {
    long nowNanos = transport.clockNanos().getAsLong();
    if (probe != null && probe.onMessage(nowNanos)) {
      scheduleCheck(nowNanos);
    }
  }

  private void scheduleCheck(long nowNanos) {
    if (nextCheck != null) {
      nextCheck.cancel(false);
    }
    long delayNanos = Math.max(0, probe.nextCheckNanos() - nowNanos);
    nextCheck = channel.eventLoop().schedule(this::checkLiveness, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void checkLiveness() {
    if (channel.isActive()) {
      probe.check(transport.clockNanos().getAsLong());
      scheduleCheck(transport.clockNanos().getAsLong());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    transport.probeBudget().connectionClosed();
    if (nextCheck != null) {
      nextCheck.cancel(false);
    }
    if (peer == null) {
      onHandshake.accept(Either.left(new WireError(handshakeFailure)));
    } else {
      listener.onClosed(this, closeReason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof io.netty.handler.codec.DecoderException) {
      closeReason = CloseReason.PROTOCOL_ERROR;
    }
    handshakeFailure = String.valueOf(cause.getMessage());
    LOGGER.log(Level.DEBUG, "connection closed after an exception", cause);
    context.close();
  }
}
