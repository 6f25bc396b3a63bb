package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.entry.internal.chat.ChatResponses;

/** Collects the answer of a model and sends it as one response when it is complete. */
final class BufferedChatReply implements CallerReply {
  private final Context context;
  private final RequestLifecycle lifecycle;
  private final ChatResponses responses;
  private final int promptTokens;
  private final StringBuilder text = new StringBuilder();

  BufferedChatReply(
      Context context, RequestLifecycle lifecycle, ChatResponses responses, int promptTokens) {
    this.context = context;
    this.lifecycle = lifecycle;
    this.responses = responses;
    this.promptTokens = promptTokens;
  }

  @Override
  public void addToken(String token) {
    text.append(token);
  }

  @Override
  public void finish(FinishReason reason, int tokens) {
    lifecycle.end(
        context,
        () -> {
          context.setResponseHeader("X-Request-Id", lifecycle.request().value());
          context.setResponseType("application/json");
          context.send(responses.completion(text.toString(), reason, promptTokens, tokens));
        });
  }

  @Override
  public void sendServiceAnswer(ServiceAnswer answer) {
    throw new IllegalStateException(
        "request %s is a model request, not a plain service call".formatted(lifecycle.request()));
  }

  @Override
  public void sendProblem(Problem problem) {
    lifecycle.end(context, () -> ProblemDocument.send(context, problem, lifecycle.request()));
  }
}
