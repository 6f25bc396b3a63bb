package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.HttpHeader;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.entry.internal.chat.ChatResponses;

/** Sends one response when the answer is complete. */
final class WholeReply implements CallerReply {
  private final Context context;
  private final RequestId request;
  private final ChatResponses responses;
  private final int promptTokens;
  private final Runnable onEnded;
  private final StringBuilder text = new StringBuilder();

  WholeReply(
      Context context,
      RequestId request,
      ChatResponses responses,
      int promptTokens,
      Runnable onEnded) {
    this.context = context;
    this.request = request;
    this.responses = responses;
    this.promptTokens = promptTokens;
    this.onEnded = onEnded;
  }

  @Override
  public void token(String token) {
    text.append(token);
  }

  @Override
  public void finish(FinishReason reason, int tokens) {
    onEnded.run();
    context.setResponseHeader("X-Request-Id", request.value());
    context.setResponseType("application/json");
    context.send(responses.whole(text.toString(), reason, promptTokens, tokens));
  }

  @Override
  public void service(ServiceAnswer answer) {
    onEnded.run();
    context.setResponseCode(answer.status());
    for (HttpHeader header : PassedHeaders.ofResponse(answer.headers())) {
      if ("content-type".equalsIgnoreCase(header.name())) {
        context.setResponseType(header.value());
      } else {
        context.setResponseHeader(header.name(), header.value());
      }
    }
    context.setResponseHeader("X-Request-Id", request.value());
    context.send(answer.body().bytes());
  }

  @Override
  public void problem(Problem problem) {
    onEnded.run();
    ProblemDocument.send(context, problem, request);
  }
}
