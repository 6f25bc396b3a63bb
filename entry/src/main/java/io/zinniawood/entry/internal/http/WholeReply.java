package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.entry.internal.chat.ChatResponses;

/** Sends one response when the answer is complete. */
final class WholeReply implements CallerReply {
  private final Context context;
  private final CallerSlot slot;
  private final ChatResponses responses;
  private final int promptTokens;
  private final StringBuilder text = new StringBuilder();

  WholeReply(Context context, CallerSlot slot, ChatResponses responses, int promptTokens) {
    this.context = context;
    this.slot = slot;
    this.responses = responses;
    this.promptTokens = promptTokens;
  }

  @Override
  public void token(String token) {
    text.append(token);
  }

  @Override
  public void finish(FinishReason reason, int tokens) {
    slot.end();
    context.setResponseHeader("X-Request-Id", slot.request().value());
    context.setResponseType("application/json");
    context.send(responses.whole(text.toString(), reason, promptTokens, tokens));
    slot.release();
  }

  @Override
  public void service(ServiceAnswer answer) {
    throw new IllegalStateException("request %s is a model request".formatted(slot.request()));
  }

  @Override
  public void problem(Problem problem) {
    slot.end();
    ProblemDocument.send(context, problem, slot.request());
    slot.release();
  }
}
