package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.core.model.ServiceAnswer;

/** Forwards the answer of a plain service to the caller. */
final class ServiceReply implements CallerReply {
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;

  private final Context context;
  private final RequestLifecycle lifecycle;

  ServiceReply(Context context, RequestLifecycle lifecycle) {
    this.context = context;
    this.lifecycle = lifecycle;
  }

  @Override
  public void addToken(String text) {
    throw notModelRequest();
  }

  @Override
  public void finish(FinishReason reason, int tokens) {
    throw notModelRequest();
  }

  private IllegalStateException notModelRequest() {
    return new IllegalStateException(
        "request %s is a plain service call, not a model request".formatted(lifecycle.request()));
  }

  @Override
  public void sendServiceAnswer(ServiceAnswer answer) {
    if (answer.status() < MIN_FINAL_STATUS || answer.status() > MAX_STATUS) {
      sendProblem(
          Problem.unknown(
              ProblemType.ENDPOINT_FAILED,
              "the service returned the invalid HTTP status " + answer.status()));
      return;
    }
    lifecycle.end(context, () -> write(answer));
  }

  private void write(ServiceAnswer answer) {
    context.setResponseCode(answer.status());
    for (HttpHeader header : HeaderFilter.filterResponse(answer.headers())) {
      if ("content-type".equalsIgnoreCase(header.name())) {
        context.setResponseType(header.value());
      } else {
        context.setResponseHeader(header.name(), header.value());
      }
    }
    context.setResponseHeader("X-Request-Id", lifecycle.request().value());
    context.send(answer.body().bytes());
  }

  @Override
  public void sendProblem(Problem problem) {
    lifecycle.end(context, () -> ProblemDocument.send(context, problem, lifecycle.request()));
  }
}
