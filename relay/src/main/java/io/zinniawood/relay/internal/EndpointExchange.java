package io.zinniawood.relay.internal;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.model.NodeAddress;
import io.zinniawood.core.relay.AnswerEvidence;
import io.zinniawood.core.relay.Decision;
import io.zinniawood.core.relay.SendOptions;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One attempt to run a request on an endpoint. */
public final class EndpointExchange {
  /** Time in which the rest of a head follows a part of it, in milliseconds. */
  private static final long REST_OF_HEAD_MILLIS = 50;

  private final CallerExchange callerExchange;
  private final int attempt;
  private final NodeAddress address;
  private final SendOptions options;
  private Optional<EndpointIncarnation> endpoint = Optional.empty();
  private Channel channel;
  private boolean ended;
  private boolean sent;
  private long sentNanos;
  private boolean relayed;
  private HttpResponse streamHead;
  private AnswerEvidence evidence;
  private Optional<UnconfirmedAnswer> unconfirmed = Optional.empty();
  private List<String> repeatableIds = List.of();

  EndpointExchange(
      CallerExchange callerExchange, int attempt, NodeAddress address, SendOptions options) {
    this.callerExchange = callerExchange;
    this.attempt = attempt;
    this.address = address;
    this.options = options;
  }

  CallerExchange callerExchange() {
    return callerExchange;
  }

  int attempt() {
    return attempt;
  }

  NodeAddress address() {
    return address;
  }

  SendOptions options() {
    return options;
  }

  Channel channel() {
    return channel;
  }

  void channel(Channel used) {
    this.channel = used;
  }

  /** Returns the process start that was listed when the request was sent. */
  Optional<EndpointIncarnation> endpoint() {
    return endpoint;
  }

  void endpoint(EndpointIncarnation listed) {
    this.endpoint = Optional.of(listed);
  }

  boolean ended() {
    return ended;
  }

  /** Ends the attempt and drops an answer that is held back. */
  void markEnded() {
    ended = true;
    takeUnconfirmed().ifPresent(answer -> answer.drop().run());
  }

  /** Holds an answer back until its endpoint has given a sign of life. */
  void hold(UnconfirmedAnswer answer) {
    unconfirmed = Optional.of(answer);
  }

  /** Holds an answer back while the rest of a head may follow, and takes it after that. */
  void holdForRestOfHead(UnconfirmedAnswer answer, EventLoop loop) {
    hold(answer);
    loop.schedule(
        () -> takeUnconfirmed().ifPresent(held -> held.take().run()),
        Math.max(0, Math.min(REST_OF_HEAD_MILLIS, millisLeft() / 2)),
        TimeUnit.MILLISECONDS);
  }

  /** Returns the answer that is held back, and holds it no longer. */
  Optional<UnconfirmedAnswer> takeUnconfirmed() {
    Optional<UnconfirmedAnswer> held = unconfirmed;
    unconfirmed = Optional.empty();
    return held;
  }

  boolean sent() {
    return sent;
  }

  void markSent() {
    sent = true;
    sentNanos = System.nanoTime();
  }

  /** Returns the rest of the time that the endpoint was given, in milliseconds. */
  long millisLeft() {
    long elapsedNanos = sent ? System.nanoTime() - sentNanos : 0;
    return options.deadlineMillis() - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
  }

  /** Returns whether the endpoint may have reached the limit of its time. */
  boolean timeLimitReached() {
    return sent && millisLeft() <= AnswerEvidence.LIMIT_MARGIN_MILLIS;
  }

  /** Returns whether the reducer decided to relay the answer of this attempt. */
  boolean relayed() {
    return relayed;
  }

  void markRelayed() {
    relayed = true;
  }

  /** Returns how the answer was known to be complete; null before its end. */
  AnswerEvidence evidence() {
    return evidence;
  }

  void evidence(AnswerEvidence found) {
    evidence = found;
  }

  /** Returns the ids of the requests whose answers may be repeated within the stream. */
  List<String> repeatableIds() {
    return repeatableIds;
  }

  void repeatableIds(List<String> ids) {
    repeatableIds = ids;
  }

  /**
   * Returns the log entry of bytes that followed the complete answer.
   *
   * @param answer whether they are the head of an answer
   */
  Decision surplusDecision(boolean answer) {
    return Decision.of(
            "bytes-after-answer",
            "request",
            callerExchange.logId(),
            "attempt",
            attempt,
            "endpoint",
            options.expectedEndpoint().value(),
            "reason",
            answer ? "answer" : "no-answer")
        .withSuspicious(true);
  }

  HttpResponse streamHead() {
    return streamHead;
  }

  void streamHead(HttpResponse head) {
    this.streamHead = head;
  }
}
