package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayReducer;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.core.runtime.Step;
import io.zinniawood.relay.HeaderDialect;
import io.zinniawood.relay.PlatformLink;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs the reducer on the event loop: posts what the connections report and carries out the
 * effects. Events that are posted while an effect is carried out come after it.
 */
public final class RelayShell implements RelayEffect.Visitor, CallerEvents, EndpointEvents {
  private final RelayState state;
  private final HeaderDialect dialect;
  private final Outlets outlets;
  private final RelayReducer reducer = new RelayReducer();
  private final EndpointConnections connections;
  private final Deque<RelayEvent> pending = new ArrayDeque<>();
  private final Map<RelayRequestId, CallerExchange> callers = new HashMap<>();
  private final Map<RelayRequestId, EndpointExchange> attempts = new HashMap<>();
  private final Map<RelayRequestId, Answer> answers = new HashMap<>();
  private final EventLoop loop;
  private long lastTickNanos = System.nanoTime();
  private RequestLimits limits = RequestLimits.DEFAULT;
  private PlatformLink platform;
  private boolean running;
  private boolean draining;
  private long nextId;

  /** Time without a tick after which this process counts as late; four ticks. */
  private static final long LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Delay of a request that arrives while this process is late. */
  private static final long LAG_DELAY_MILLIS = 3;

  /** A whole answer that waits for the reducer's decision. */
  private record Answer(int attempt, HttpResponse head, ByteBuf content) {}

  /** What the shell tells the process. */
  public interface Outlets {
    /** The readiness has changed. */
    void readiness(boolean ready);

    /** Nothing is in progress; the process may end. */
    void stop();

    /** A decision was taken. */
    void decided(RelayEffect.LogDecision decision);

    /** An event of a stream came after a pause. */
    void streamAdvanced();
  }

  /** Creates a shell; {@link #start} is called before the first event. */
  public RelayShell(RelayState state, HeaderDialect dialect, EventLoop loop, Outlets outlets) {
    this.state = state;
    this.dialect = dialect;
    this.outlets = outlets;
    this.loop = loop;
    this.connections = new EndpointConnections(loop, this);
  }

  /** Begins to read the platform. */
  public void start(PlatformLink link) {
    platform = link;
    link.start(this::post);
  }

  /** Returns the state, for reports; to be read on the event loop only. */
  public RelayState state() {
    return state;
  }

  /** Applies an event; on the event loop only. */
  public void post(RelayEvent event) {
    pending.addLast(event);
    if (running) {
      return;
    }
    running = true;
    try {
      while (!pending.isEmpty()) {
        Step<RelayState, RelayEffect> step =
            reducer.reduce(state, System.nanoTime(), pending.pollFirst());
        for (RelayEffect effect : step.effects()) {
          effect.accept(this);
        }
      }
    } finally {
      running = false;
    }
  }

  // Connections of callers.

  @Override
  public RequestLimits limits() {
    return limits;
  }

  @Override
  public boolean draining() {
    return draining;
  }

  @Override
  public void requestComplete(CallerHandler caller, HttpRequest head, ByteBuf body) {
    CallerRequest request = dialect.read(head);
    CallerExchange exchange =
        new CallerExchange(new RelayRequestId(++nextId), head, request, body, caller);
    callers.put(exchange.id(), exchange);
    caller.opened(exchange);
    RelayEvent arrived = new RelayEvent.RequestArrived(exchange.id(), request);
    if (System.nanoTime() - lastTickNanos < LAG_NANOS) {
      post(arrived);
    } else {
      // The caller may have left while this process was busy; its close is read before the delay
      // ends, and the exchange is then gone.
      loop.schedule(
          () -> {
            if (callers.containsKey(exchange.id())) {
              post(arrived);
            }
          },
          LAG_DELAY_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Notes that time passes; the process is late if this does not come every few milliseconds. */
  public void tick() {
    lastTickNanos = System.nanoTime();
    post(new RelayEvent.Tick());
  }

  @Override
  public void callerLeft(RelayRequestId id) {
    callers.remove(id);
    dropAnswer(id);
    post(new RelayEvent.CallerDisconnected(id));
  }

  @Override
  public void writabilityChanged(RelayRequestId id, boolean writable) {
    EndpointExchange exchange = attempts.get(id);
    if (exchange != null && exchange.channel() != null) {
      exchange.channel().config().setAutoRead(writable);
    }
  }

  // Connections to endpoints.

  @Override
  public boolean belongsToOther(EndpointExchange exchange, HttpResponse head) {
    return dialect.belongsToOther(head, exchange.caller().request());
  }

  @Override
  public void streamBegun(EndpointExchange exchange, HttpResponse head) {
    post(
        new RelayEvent.AnswerReceived(
            exchange.caller().id(), exchange.attempt(), dialect.summarize(head)));
  }

  @Override
  public void streamContent(EndpointExchange exchange, ByteBuf content) {
    CallerExchange caller = exchange.caller();
    if (exchange.ended() || !caller.headWritten()) {
      return;
    }
    Consumer<ByteBuf> writer = caller.caller()::writeStream;
    long before = caller.splitter().lastId();
    boolean valid = caller.splitter().take(content, writer);
    if (caller.splitter().lastId() != before) {
      outlets.streamAdvanced();
      post(new RelayEvent.StreamAdvanced(caller.id(), exchange.attempt()));
    }
    if (!valid) {
      connections.cancel(exchange);
      broken(exchange, AttemptFailureCause.INVALID_ANSWER);
    }
  }

  @Override
  public void streamPaused(EndpointExchange exchange) {
    if (!exchange.ended() && exchange.caller().headWritten()) {
      exchange.caller().caller().flush();
    }
  }

  @Override
  public void streamEnded(EndpointExchange exchange) {
    CallerExchange caller = exchange.caller();
    if (exchange.ended() || !caller.headWritten()) {
      return;
    }
    // An endpoint that breaks off within an event may still end its answer in good form.
    if (caller.splitter().hasPart()) {
      broken(exchange, AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    exchange.markEnded();
    attempts.remove(caller.id(), exchange);
    callers.remove(caller.id());
    post(new RelayEvent.AnswerRelayed(caller.id(), exchange.attempt()));
    caller.caller().endStream();
  }

  @Override
  public void answered(EndpointExchange exchange, HttpResponse head, ByteBuf content) {
    if (exchange.ended()) {
      content.release();
      return;
    }
    // The connection is free for others now; a later cancel must not close it.
    exchange.channel(null);
    RelayRequestId id = exchange.caller().id();
    answers.put(id, new Answer(exchange.attempt(), head, content));
    post(new RelayEvent.AnswerReceived(id, exchange.attempt(), dialect.summarize(head)));
  }

  @Override
  public void broken(EndpointExchange exchange, AttemptFailureCause cause) {
    if (exchange.ended()) {
      return;
    }
    exchange.markEnded();
    CallerExchange caller = exchange.caller();
    attempts.remove(caller.id(), exchange);
    caller.splitter().dropPart();
    post(
        new RelayEvent.AttemptFailed(
            caller.id(), exchange.attempt(), cause, caller.splitter().lastId()));
  }

  // Effects.

  @Override
  public void send(RelayEffect.Send effect) {
    CallerExchange caller = callers.get(effect.id());
    if (caller == null) {
      return;
    }
    EndpointExchange exchange =
        new EndpointExchange(caller, effect.attempt(), effect.address(), effect.options());
    attempts.put(effect.id(), exchange);
    HttpRequest head =
        dialect.forward(caller.head(), caller.body().readableBytes(), effect.options());
    connections.send(exchange, head);
  }

  @Override
  public void relayAnswer(RelayEffect.RelayAnswer effect) {
    CallerExchange caller = callers.get(effect.id());
    Answer answer = answers.remove(effect.id());
    EndpointExchange exchange = attempts.get(effect.id());
    if (caller == null || exchange == null) {
      return;
    }
    if (answer == null) {
      if (!caller.headWritten()) {
        caller.markHeadWritten();
        caller.caller().beginStream(exchange.streamHead());
      }
      return;
    }
    exchange.markEnded();
    attempts.remove(effect.id());
    callers.remove(effect.id());
    post(new RelayEvent.AnswerRelayed(effect.id(), effect.attempt()));
    caller.caller().answerWhole(answer.head(), answer.content());
  }

  @Override
  public void answerLocally(RelayEffect.AnswerLocally effect) {
    CallerExchange caller = callers.remove(effect.id());
    dropAnswer(effect.id());
    if (caller != null) {
      caller.caller().answerOwn(effect.answer());
    }
  }

  @Override
  public void abortAnswer(RelayEffect.AbortAnswer effect) {
    CallerExchange caller = callers.remove(effect.id());
    dropAnswer(effect.id());
    if (caller != null) {
      caller.caller().abort();
    }
  }

  @Override
  public void cancelAttempt(RelayEffect.CancelAttempt effect) {
    dropAnswer(effect.id());
    EndpointExchange exchange = attempts.get(effect.id());
    if (exchange != null && exchange.attempt() == effect.attempt() && !exchange.ended()) {
      attempts.remove(effect.id());
      exchange.markEnded();
      exchange.caller().splitter().dropPart();
      connections.cancel(exchange);
    }
  }

  private void dropAnswer(RelayRequestId id) {
    Answer dropped = answers.remove(id);
    if (dropped != null) {
      dropped.content().release();
    }
  }

  @Override
  public void repath(RelayEffect.Repath effect) {
    CallerExchange caller = callers.get(effect.id());
    if (caller != null) {
      platform.repath(
          effect.id(), effect.attempt(), caller.request(), effect.first(), effect.path());
    }
  }

  @Override
  public void order(RelayEffect.Order effect) {
    platform.order(effect.order());
  }

  @Override
  public void readReport(RelayEffect.ReadReport effect) {
    platform.readReport(effect.endpoint(), effect.address());
  }

  @Override
  public void readLease(RelayEffect.ReadLease effect) {
    platform.readLease();
  }

  @Override
  public void writeLease(RelayEffect.WriteLease effect) {
    platform.writeLease(effect.expectedVersion(), effect.row());
  }

  @Override
  public void writePresence(RelayEffect.WritePresence effect) {
    platform.showPresence(effect.vm(), effect.heartbeat());
  }

  @Override
  public void applyLimits(RelayEffect.ApplyLimits effect) {
    limits = effect.limits();
  }

  @Override
  public void setReadiness(RelayEffect.SetReadiness effect) {
    draining = state.terminating();
    outlets.readiness(effect.ready());
  }

  @Override
  public void stop(RelayEffect.Stop effect) {
    outlets.stop();
  }

  @Override
  public void logDecision(RelayEffect.LogDecision effect) {
    outlets.decided(effect);
  }
}
