package io.zinniawood.relay.internal;

import io.zinniawood.core.relay.LocalAnswer;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.relay.FailureLog;
import io.zinniawood.relay.HeaderCodec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Carries out the effects that end requests of callers, and keeps the callers that wait and their
 * attempts.
 */
abstract class CallerEffects extends PlatformEffects implements FailureLog {
  final HeaderCodec codec;
  final Map<RelayRequestId, CallerExchange> callers = new HashMap<>();
  final Map<RelayRequestId, EndpointExchange> attempts = new HashMap<>();
  final PendingAnswers pendingAnswers = new PendingAnswers();
  private RequestLimits limits = RequestLimits.DEFAULT;

  CallerEffects(HeaderCodec codec) {
    this.codec = codec;
  }

  /** Returns the connections of the callers that have received the head of a stream. */
  List<CallerHandler> streamingConnections() {
    return callers.values().stream()
        .filter(CallerExchange::headWritten)
        .map(CallerExchange::connection)
        .toList();
  }

  /** Writes the head of a stream unless that was done; it goes with the first event. */
  void writeStreamHead(EndpointExchange exchange) {
    CallerExchange caller = exchange.callerExchange();
    if (!caller.headWritten()) {
      codec.removeEndpointHeaders(exchange.streamHead());
      caller.connection().beginStream(exchange.streamHead());
      caller.markHeadWritten();
    }
  }

  @Override
  public void repath(RelayEffect.Repath effect) {
    CallerExchange caller = callers.get(effect.id());
    if (caller != null) {
      platform()
          .repath(
              effect.id(),
              effect.attempt(),
              caller.request(),
              incarnation(effect.path().first().endpoint()),
              effect.first(),
              effect.path());
    }
  }

  @Override
  public void confirmEndpoint(RelayEffect.ConfirmEndpoint effect) {
    EndpointExchange exchange = attempts.get(effect.id());
    if (exchange != null && exchange.attempt() == effect.attempt()) {
      platform()
          .confirmEndpoint(
              effect.id(), effect.attempt(), exchange.endpoint().orElseThrow(), exchange.address());
    }
  }

  @Override
  public void takeAnswer(RelayEffect.TakeAnswer effect) {
    EndpointExchange exchange = attempts.get(effect.id());
    if (exchange != null && exchange.attempt() == effect.attempt()) {
      exchange.takeUnconfirmed().ifPresent(answer -> answer.take().run());
    }
  }

  @Override
  public void answerLocally(RelayEffect.AnswerLocally effect) {
    end(effect.id(), effect.answer());
  }

  /** Answers a request, or breaks its answer off if it has begun. */
  void end(RelayRequestId id, LocalAnswer answer) {
    CallerExchange caller = callers.remove(id);
    pendingAnswers.release(id);
    if (caller != null && caller.headWritten()) {
      caller.connection().abort();
    } else if (caller != null) {
      endCaller(caller, () -> caller.connection().writeLocalAnswer(answer));
    }
  }

  void endCaller(CallerExchange caller, Runnable write) {
    try {
      write.run();
    } catch (RuntimeException | Error failure) {
      failed("effect-failed", "end-of-request", failure);
      caller.connection().abort();
    }
  }

  @Override
  public void abortAnswer(RelayEffect.AbortAnswer effect) {
    // Without a head the caller can still be told that the outcome is unknown.
    end(effect.id(), LocalAnswer.unknownOutcome("internal-failure"));
  }

  @Override
  public void applyLimits(RelayEffect.ApplyLimits effect) {
    limits = effect.limits();
  }

  /** Returns the request limits currently in effect. */
  public RequestLimits limits() {
    return limits;
  }
}
