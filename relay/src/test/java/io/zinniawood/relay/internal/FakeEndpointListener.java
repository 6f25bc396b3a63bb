package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.AttemptFailureCause;
import io.zinniawood.relay.AnsweredRequest;
import java.util.ArrayList;
import java.util.List;

/** Records what a connection to an endpoint reports; the waiting request has the id {@code own}. */
final class FakeEndpointListener implements EndpointListener {
  static final String ID_HEADER = "Request-Id";
  static final String OWN_ID = "own";

  final List<AttemptFailureCause> failures = new ArrayList<>();
  final List<Integer> answers = new ArrayList<>();
  final List<Integer> streams = new ArrayList<>();
  final List<Integer> heads = new ArrayList<>();
  final List<String> faults = new ArrayList<>();
  final List<String> surplus = new ArrayList<>();
  final List<UnconfirmedAnswer> unconfirmed = new ArrayList<>();
  final List<ByteBuf> kept = new ArrayList<>();
  boolean keepContent;
  int completedStreams;
  boolean failing;

  /** Called with each answer, as the runtime may use the connection again at once. */
  Runnable onAnswer = () -> {};

  @Override
  public void failed(String event, String subject, Throwable failure) {
    faults.add(event + " " + subject);
  }

  @Override
  public void headReceived(EndpointExchange exchange, HttpResponse head) {
    heads.add(head.status().code());
  }

  @Override
  public AnsweredRequest answeredRequest(EndpointExchange exchange, HttpResponse head) {
    List<String> ids = head.headers().getAll(ID_HEADER);
    if (ids.size() != 1) {
      return ids.isEmpty() ? AnsweredRequest.UNIDENTIFIED : AnsweredRequest.AMBIGUOUS;
    }
    return OWN_ID.equals(ids.get(0)) ? AnsweredRequest.OWN : AnsweredRequest.OTHER;
  }

  @Override
  public void streamStarted(EndpointExchange exchange, HttpResponse head) {
    streams.add(head.status().code());
  }

  @Override
  public void streamContentReceived(EndpointExchange exchange, ByteBuf content) {}

  @Override
  public void streamReadComplete(EndpointExchange exchange) {}

  @Override
  public void streamCompleted(EndpointExchange exchange) {
    completedStreams++;
  }

  @Override
  public void answerReceived(EndpointExchange exchange, HttpResponse head, ByteBuf content) {
    if (failing) {
      content.release();
      throw new IllegalStateException("fault in the delivery");
    }
    answers.add(head.status().code());
    onAnswer.run();
    if (keepContent) {
      kept.add(content);
    } else {
      content.release();
    }
  }

  @Override
  public void answerEnded(EndpointExchange exchange, HttpResponse head, UnconfirmedAnswer answer) {
    unconfirmed.add(answer);
  }

  @Override
  public void answerInDoubt(EndpointExchange exchange, UnconfirmedAnswer answer) {
    exchange.hold(answer);
  }

  @Override
  public void surplusReceived(EndpointExchange lastExchange, boolean answer) {
    surplus.add(answer ? "answer" : "no-answer");
  }

  @Override
  public void attemptFailed(EndpointExchange exchange, AttemptFailureCause cause) {
    failures.add(cause);
  }
}
