package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.jooby.Sender;
import io.vavr.control.Option;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.entry.internal.chat.ChatRequest;
import io.zinniawood.entry.internal.chat.ChatResponses;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Streams the answer of a model as server-sent events. */
final class StreamingChatReply implements CallerReply {
  private final Context context;
  private final RequestLifecycle lifecycle;
  private final ChatResponses responses;
  private final ChatRequest chat;
  private final UnsentBytes.Stream unsentBytes;
  private Option<Sender> sender = Option.none();

  StreamingChatReply(
      Context context,
      RequestLifecycle lifecycle,
      ChatResponses responses,
      ChatRequest chat,
      UnsentBytes.Stream unsentBytes) {
    this.context = context;
    this.lifecycle = lifecycle;
    this.responses = responses;
    this.chat = chat;
    this.unsentBytes = unsentBytes;
  }

  @Override
  public void addToken(String text) {
    if (sender.isEmpty()) {
      write(join(responses.roleEvent(), responses.tokenEvent(text)));
    } else {
      write(responses.tokenEvent(text));
    }
  }

  @Override
  public void finish(FinishReason reason, int tokens) {
    ByteArrayOutputStream end = new ByteArrayOutputStream();
    if (sender.isEmpty()) {
      end.writeBytes(responses.roleEvent());
    }
    end.writeBytes(responses.finishEvent(reason));
    if (chat.delivery() == ChatRequest.Delivery.STREAM_WITH_USAGE) {
      end.writeBytes(responses.usageEvent(chat.promptTokens(), tokens));
    }
    end.writeBytes(ChatResponses.DONE_EVENT);
    endWith(end.toByteArray());
  }

  @Override
  public void sendServiceAnswer(ServiceAnswer answer) {
    throw new IllegalStateException(
        "request %s is a model request, not a plain service call".formatted(lifecycle.request()));
  }

  @Override
  public void sendProblem(Problem problem) {
    if (sender.isEmpty()) {
      lifecycle.end(context, () -> ProblemDocument.send(context, problem, lifecycle.request()));
      return;
    }
    // Omits [DONE], so that a client that ignores the event does not treat the answer as complete.
    String json =
        new String(ProblemDocument.toJson(problem, lifecycle.request()), StandardCharsets.UTF_8);
    endWith(("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
  }

  private void endWith(byte[] bytes) {
    if (write(bytes)) {
      lifecycle.end(context, () -> sender.forEach(Sender::close));
    }
  }

  private boolean write(byte[] bytes) {
    if (!unsentBytes.tryAdd(bytes.length)) {
      lifecycle.cancel();
      return false;
    }
    if (sender.isEmpty()) {
      context.setResponseHeader("X-Request-Id", lifecycle.request().value());
      context.setResponseHeader("Cache-Control", "no-cache");
      context.setResponseType("text/event-stream");
      sender = Option.some(context.responseSender());
    }
    sender.get().write(bytes, (written, failure) -> unsentBytes.remove(bytes.length));
    return true;
  }

  private static byte[] join(byte[] first, byte[] second) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream(first.length + second.length);
    joined.writeBytes(first);
    joined.writeBytes(second);
    return joined.toByteArray();
  }
}
