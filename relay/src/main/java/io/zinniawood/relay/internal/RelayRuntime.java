package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.frame.ForeignHead;
import io.zinniawood.core.relay.AnswerSummary;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.DecisionFailure;
import io.zinniawood.core.relay.EndpointStatement;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayEvent;
import io.zinniawood.core.relay.RelayReducer;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.relay.RelayState;
import io.zinniawood.core.runtime.Step;
import io.zinniawood.ingress.CallerMemory;
import io.zinniawood.ingress.MemoryAccount;
import io.zinniawood.relay.AnsweredRequest;
import io.zinniawood.relay.HeaderCodec;
import io.zinniawood.relay.PlatformClient;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs the reducer on the event loop: converts network input into events and carries out the
 * effects. Events that are posted while effects are carried out are queued and processed
 * afterwards.
 */
public final class RelayRuntime extends CallerEffects implements CallerListener, EndpointListener {
  private final RelayState state;
  private final MemoryBudget memory;
  private final RuntimeListener listener;
  private final RelayReducer reducer = new RelayReducer();
  private final EndpointConnectionPool connections;
  private final Deque<RelayEvent> pendingEvents = new ArrayDeque<>();
  private final UnsentStreams unsentStreams;
  private final EventLoop loop;
  private long lastTickNanos = System.nanoTime();
  private boolean processingEvents;
  private long lastRequestId;

  /** Time since the last tick after which the event loop counts as late: four tick intervals. */
  private static final long LATE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Delay of a request that is received while the event loop is late. */
  private static final long LATE_REQUEST_DELAY_MILLIS = 3;

  /** Creates a runtime; {@link #start} must be called before the first event. */
  public RelayRuntime(
      RelayState state,
      HeaderCodec codec,
      EventLoop loop,
      MemoryBudget memory,
      RuntimeListener listener) {
    super(codec);
    this.memory = memory;
    this.unsentStreams = new UnsentStreams(memory.account(MemoryUser.STREAMED_ANSWERS));
    this.state = state;
    this.listener = listener;
    this.loop = loop;
    this.connections =
        new EndpointConnectionPool(loop, memory.account(MemoryUser.ENDPOINT_ANSWERS), this);
  }

  /**
   * Connects the platform and the other relays; ticks may be posted from then on.
   *
   * @param peerSender sends messages to other relays
   */
  public void start(PlatformClient client, PeerSender peerSender) {
    connect(client, peerSender, state);
    client.start(this::post);
  }

  /** Returns the state for metrics; must be read on the event loop. */
  public RelayState state() {
    return state;
  }

  /** Applies an event; must be called on the event loop. */
  public void post(RelayEvent event) {
    pendingEvents.addLast(event);
    if (processingEvents) {
      return;
    }
    processingEvents = true;
    try {
      while (!pendingEvents.isEmpty()) {
        applyContained(pendingEvents.pollFirst());
      }
    } finally {
      processingEvents = false;
    }
  }

  /** Applies an event; its failure must not hold back the events that are queued behind it. */
  private void applyContained(RelayEvent event) {
    try {
      apply(event);
    } catch (RuntimeException | Error failure) {
      failed("event-failed", event.getClass().getSimpleName(), failure);
    }
  }

  private void apply(RelayEvent event) {
    Step<RelayState, RelayEffect> step = reducer.reduce(state, System.nanoTime(), event);
    for (RelayEffect effect : step.effects()) {
      try {
        effect.accept(this);
      } catch (RuntimeException | Error failure) {
        failed("effect-failed", effect.getClass().getSimpleName(), failure);
        FailedEffects.resultOf(effect, this::wasSent).ifPresent(pendingEvents::addLast);
      }
    }
    if (event instanceof RelayEvent.AnswerReceived answer) {
      // The decision either relayed the answer or has no use for it.
      pendingAnswers.release(answer.id());
    }
  }

  private boolean wasSent(RelayEffect.Send send) {
    EndpointExchange exchange = attempts.get(send.id());
    return exchange != null && exchange.attempt() == send.attempt() && exchange.sent();
  }

  @Override
  public void failed(String event, String subject, Throwable failure) {
    listener.decisionMade(
        new RelayEffect.LogDecision(DecisionFailure.describe(event, subject, failure)));
  }

  // Connections of callers.

  @Override
  public MemoryAccount requestMemory() {
    return memory.account(MemoryUser.CALLER_REQUESTS);
  }

  @Override
  public CallerMemory connectionMemory() {
    return memory.callers();
  }

  @Override
  public boolean draining() {
    return state.terminating();
  }

  @Override
  public void requestReceived(CallerHandler caller, HttpRequest head, ByteBuf body) {
    RelayRequestId id = new RelayRequestId(++lastRequestId);
    CallerRequest request;
    try {
      request = codec.decodeRequest(head);
    } catch (RuntimeException | Error failure) {
      failed("request-undecodable", "decode", failure);
      CallerExchange undecoded = new CallerExchange(id, head, null, body, caller);
      caller.beginExchange(undecoded);
      endCaller(undecoded, () -> caller.writeLocalAnswer(CallerAnswers.internalFailure()));
      return;
    }
    CallerExchange exchange = new CallerExchange(id, head, request, body, caller);
    callers.put(exchange.id(), exchange);
    caller.beginExchange(exchange);
    RelayEvent arrived =
        new RelayEvent.RequestArrived(
            exchange.id(),
            request,
            account -> RequestFingerprints.of(account, exchange.head(), exchange.body()));
    if (System.nanoTime() - lastTickNanos < LATE_TICK_NANOS) {
      post(arrived);
    } else {
      // The caller may have disconnected while the event loop was busy. The delay lets the loop
      // read the close first, which removes the exchange, so that the request is not run in vain.
      loop.schedule(
          () -> {
            if (callers.containsKey(exchange.id())) {
              post(arrived);
            } else {
              listener.decisionMade(new RelayEffect.LogDecision(exchange.abandoned()));
            }
          },
          LATE_REQUEST_DELAY_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Posts a tick and records its time, by which a late event loop is detected. */
  public void tick() {
    lastTickNanos = System.nanoTime();
    post(new RelayEvent.Tick());
    limitUnsentStreams();
  }

  private void limitUnsentStreams() {
    unsentStreams.limit(streamingConnections());
  }

  @Override
  public void requestFailed(RelayRequestId id) {
    CallerExchange caller = callers.get(id);
    if (caller == null) {
      return;
    }
    if (state.isOpen(id)) {
      postFailure(caller, caller.attempt(), AttemptFailureCause.INTERNAL_FAILURE);
    } else {
      // It was not decided on, and is not sent any more once it has left the map.
      end(id, CallerAnswers.internalFailure());
    }
  }

  @Override
  public void callerDisconnected(RelayRequestId id) {
    callers.remove(id);
    pendingAnswers.release(id);
    post(new RelayEvent.CallerDisconnected(id));
  }

  @Override
  public void connectionClosed(ConnectionClose close) {
    listener.decisionMade(new RelayEffect.LogDecision(close.toDecision()));
  }

  @Override
  public void writabilityChanged(RelayRequestId id, boolean writable) {
    EndpointExchange exchange = attempts.get(id);
    if (exchange != null && exchange.channel() != null) {
      exchange.channel().config().setAutoRead(writable);
    }
    if (!writable) {
      loop.execute(this::limitUnsentStreams);
    }
  }

  // Connections to endpoints.

  @Override
  public void headReceived(EndpointExchange exchange, HttpResponse head) {
    EndpointStatement statement = codec.statement(head);
    if (!statement.isEmpty()) {
      exchange
          .endpoint()
          .ifPresent(endpoint -> post(new RelayEvent.EndpointStated(endpoint, statement)));
    }
  }

  @Override
  public AnsweredRequest answeredRequest(EndpointExchange exchange, HttpResponse head) {
    return codec.answeredRequest(head, exchange.callerExchange().request());
  }

  @Override
  public void streamStarted(EndpointExchange exchange, HttpResponse head) {
    // The caller may have become slow during an earlier attempt.
    exchange.channel().config().setAutoRead(exchange.callerExchange().connection().writable());
    post(
        new RelayEvent.AnswerReceived(
            exchange.callerExchange().id(), exchange.attempt(), codec.summarize(head)));
  }

  @Override
  public void streamContentReceived(EndpointExchange exchange, ByteBuf content) {
    CallerExchange caller = exchange.callerExchange();
    if (exchange.ended() || !exchange.relayed()) {
      return;
    }
    Consumer<ByteBuf> writer =
        event -> {
          writeStreamHead(exchange);
          caller.connection().writeStream(event);
        };
    long previousId = caller.splitter().lastId();
    boolean valid;
    try {
      valid = caller.splitter().split(content, exchange.repeatableIds(), writer);
    } catch (RuntimeException | Error failure) {
      failed("effect-failed", "write-event", failure);
      breakOff(exchange);
      return;
    }
    if (caller.splitter().lastId() != previousId) {
      listener.streamAdvanced();
      post(
          new RelayEvent.StreamAdvanced(
              caller.id(), exchange.attempt(), caller.splitter().lastId()));
    }
    if (!valid) {
      connections.cancel(exchange);
      attemptFailed(exchange, AttemptFailureCause.INVALID_ANSWER);
    }
  }

  /** Ends a request whose caller lacks an event that no other attempt would send again. */
  private void breakOff(EndpointExchange exchange) {
    CallerExchange caller = exchange.callerExchange();
    connections.cancel(exchange);
    exchange.markEnded();
    attempts.remove(caller.id(), exchange);
    if (caller.headWritten()) {
      callers.remove(caller.id());
      caller.connection().abort();
    }
    postFailure(caller, exchange.attempt(), AttemptFailureCause.INTERNAL_FAILURE);
  }

  @Override
  public void streamReadComplete(EndpointExchange exchange) {
    if (!exchange.ended() && exchange.callerExchange().headWritten()) {
      exchange.callerExchange().connection().flush();
    }
  }

  @Override
  public void streamCompleted(EndpointExchange exchange) {
    CallerExchange caller = exchange.callerExchange();
    if (exchange.ended() || !exchange.relayed()) {
      return;
    }
    if (!caller.splitter().mayEndHere()) {
      attemptFailed(exchange, AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    exchange.markEnded();
    attempts.remove(caller.id(), exchange);
    callers.remove(caller.id());
    post(new RelayEvent.AnswerRelayed(caller.id(), exchange.attempt(), exchange.evidence()));
    endCaller(
        caller,
        () -> {
          writeStreamHead(exchange);
          caller.connection().endStream();
        });
  }

  @Override
  public void answerReceived(EndpointExchange exchange, HttpResponse head, ByteBuf content) {
    if (exchange.ended()) {
      content.release();
      return;
    }
    // The connection is back in the pool, so a later cancel must not close it.
    exchange.channel(null);
    AnswerSummary summary;
    try {
      summary = codec.summarize(head);
    } catch (RuntimeException | Error failure) {
      failed("answer-undecodable", "summarize", failure);
      content.release();
      attemptFailed(exchange, AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    // A refusal counts by its head, and nothing else of it is relayed.
    if (exchange.evidence().foreignHead() == ForeignHead.PRESENT && !summary.certainlyNotRun()) {
      content.release();
      attemptFailed(exchange, AttemptFailureCause.FOREIGN_HEAD);
      return;
    }
    if (exchange.callerExchange().headWritten() && summary.success()) {
      // The caller has part of a stream, which only a stream can continue.
      content.release();
      attemptFailed(exchange, AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    RelayRequestId id = exchange.callerExchange().id();
    pendingAnswers.put(id, head, content);
    post(new RelayEvent.AnswerReceived(id, exchange.attempt(), summary));
  }

  @Override
  public void answerEnded(EndpointExchange exchange, HttpResponse head, UnconfirmedAnswer answer) {
    if (exchange.ended()) {
      answer.drop().run();
      return;
    }
    exchange.hold(answer);
    post(
        new RelayEvent.AnswerEnded(
            exchange.callerExchange().id(), exchange.attempt(), codec.summarize(head)));
  }

  @Override
  public void answerInDoubt(EndpointExchange exchange, UnconfirmedAnswer answer) {
    if (exchange.ended()) {
      answer.drop().run();
      return;
    }
    exchange.holdForRestOfHead(answer, loop);
  }

  @Override
  public void surplusReceived(EndpointExchange lastExchange, boolean answer) {
    listener.decisionMade(new RelayEffect.LogDecision(lastExchange.surplusDecision(answer)));
  }

  @Override
  public void attemptFailed(EndpointExchange exchange, AttemptFailureCause cause) {
    if (exchange.ended()) {
      return;
    }
    exchange.markEnded();
    CallerExchange caller = exchange.callerExchange();
    attempts.remove(caller.id(), exchange);
    caller.splitter().endResponse();
    if (caller.headWritten()) {
      // No end of a read follows if the attempt failed in the read that brought its last events.
      caller.connection().flush();
    }
    postFailure(caller, exchange.attempt(), cause);
  }

  // Effects.

  @Override
  public void send(RelayEffect.Send effect) {
    CallerExchange caller = callers.get(effect.id());
    if (caller == null) {
      return;
    }
    caller.attempt(effect.attempt());
    EndpointExchange exchange =
        new EndpointExchange(caller, effect.attempt(), effect.address(), effect.options());
    exchange.endpoint(state.incarnation(effect.options().expectedEndpoint()));
    attempts.put(effect.id(), exchange);
    HttpRequest head =
        codec.encodeRequest(caller.head(), caller.body().readableBytes(), effect.options());
    connections.send(exchange, head);
  }

  @Override
  public void relayAnswer(RelayEffect.RelayAnswer effect) {
    CallerExchange caller = callers.get(effect.id());
    EndpointExchange exchange = attempts.get(effect.id());
    if (caller == null) {
      return;
    }
    if (exchange == null || exchange.attempt() != effect.attempt()) {
      // The attempt ended before its answer was decided on; the request still needs its end.
      postFailure(caller, effect.attempt(), AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    PendingAnswers.Answer answer = pendingAnswers.get(effect.id());
    if (answer == null) {
      exchange.markRelayed();
      return;
    }
    if (caller.headWritten()) {
      postFailure(caller, effect.attempt(), AttemptFailureCause.INVALID_ANSWER);
      return;
    }
    codec.removeEndpointHeaders(answer.head());
    caller.connection().writeFullAnswer(answer.head(), answer.content().retain());
    exchange.markEnded();
    attempts.remove(effect.id());
    callers.remove(effect.id());
    post(new RelayEvent.AnswerRelayed(effect.id(), effect.attempt(), exchange.evidence()));
  }

  private void postFailure(CallerExchange caller, int attempt, AttemptFailureCause cause) {
    post(new RelayEvent.AttemptFailed(caller.id(), attempt, cause, caller.splitter().lastId()));
  }

  @Override
  public void cancelAttempt(RelayEffect.CancelAttempt effect) {
    pendingAnswers.release(effect.id());
    EndpointExchange exchange = attempts.get(effect.id());
    if (exchange != null && exchange.attempt() == effect.attempt() && !exchange.ended()) {
      attempts.remove(effect.id());
      exchange.markEnded();
      exchange.callerExchange().splitter().endResponse();
      connections.cancel(exchange);
    }
  }

  @Override
  public void setReadiness(RelayEffect.SetReadiness effect) {
    listener.readinessChanged(effect.ready());
  }

  @Override
  public void stop(RelayEffect.Stop effect) {
    listener.drained();
  }

  @Override
  public void logDecision(RelayEffect.LogDecision effect) {
    listener.decisionMade(effect);
  }
}
