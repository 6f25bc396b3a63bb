package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.CallerRequest;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.core.relay.LocalAnswer;
import io.zinniawood.core.relay.RelayEffect;
import io.zinniawood.core.relay.RelayRequestId;
import io.zinniawood.core.route.RequestLimits;
import io.zinniawood.relay.FailureLog;
import io.zinniawood.relay.HeaderCodec;
import java.util.HashMap;
import java.util.Map;

/** Carries out the effects that end requests of callers, and keeps the callers that wait. */
abstract class CallerEffects extends PlatformEffects implements FailureLog {
  final HeaderCodec codec;
  final Map<RelayRequestId, CallerExchange> callers = new HashMap<>();
  final Map<RelayRequestId, PendingAnswer> pendingAnswers = new HashMap<>();
  private RequestLimits limits = RequestLimits.DEFAULT;

  CallerEffects(HeaderCodec codec) {
    this.codec = codec;
  }

  /** A complete answer that waits for the reducer's decision. */
  record PendingAnswer(int attempt, HttpResponse head, ByteBuf content) {}

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
  public void answerLocally(RelayEffect.AnswerLocally effect) {
    end(effect.id(), effect.answer());
  }

  /** Answers a request, or breaks its answer off if it has begun. */
  void end(RelayRequestId id, LocalAnswer answer) {
    CallerExchange caller = callers.remove(id);
    releasePendingAnswer(id);
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

  void releasePendingAnswer(RelayRequestId id) {
    PendingAnswer dropped = pendingAnswers.remove(id);
    if (dropped != null) {
      dropped.content().release();
    }
  }

  @Override
  public void applyLimits(RelayEffect.ApplyLimits effect) {
    limits = effect.limits();
  }

  /** Returns the request limits currently in effect. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the entry of a request whose caller left before it was decided on. */
  static RelayEffect.LogDecision abandoned(CallerRequest request) {
    return new RelayEffect.LogDecision(
        Decision.of(
            "request-ended",
            "request",
            request.id().map(Object::toString).orElse("-"),
            "outcome",
            "caller-left",
            "reason",
            "before-decision"));
  }
}
