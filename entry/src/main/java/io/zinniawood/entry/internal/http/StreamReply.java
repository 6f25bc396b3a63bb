package io.zinniawood.entry.internal.http;

import io.jooby.Context;
import io.jooby.Sender;
import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.FinishReason;
import io.zinniawood.core.model.Problem;
import io.zinniawood.core.model.ServiceAnswer;
import io.zinniawood.entry.internal.chat.ChatRequest;
import io.zinniawood.entry.internal.chat.ChatResponses;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Streams an answer as server-sent events. */
final class StreamReply implements CallerReply {
  /**
   * Most bytes that wait for a slow caller. An answer of some thousand tokens fits; beyond it the
   * caller is cancelled, so that it cannot hold the entry's memory.
   */
  static final long MAX_WAITING_BYTES = 1_048_576;

  private final Context context;
  private final RequestId request;
  private final ChatResponses responses;
  private final ChatRequest chat;
  private final Runnable onEnded;
  private final Runnable onTooSlow;
  private final AtomicLong waitingBytes = new AtomicLong();
  private Option<Sender> sender = Option.none();

  /**
   * Creates a reply that has sent nothing.
   *
   * @param onEnded called before the last write
   * @param onTooSlow called when too many bytes wait; the reply is not used afterwards
   */
  StreamReply(
      Context context,
      RequestId request,
      ChatResponses responses,
      ChatRequest chat,
      Runnable onEnded,
      Runnable onTooSlow) {
    this.context = context;
    this.request = request;
    this.responses = responses;
    this.chat = chat;
    this.onEnded = onEnded;
    this.onTooSlow = onTooSlow;
  }

  @Override
  public void token(String text) {
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
    end.writeBytes(ChatResponses.DONE);
    endWith(end.toByteArray());
  }

  @Override
  public void service(ServiceAnswer answer) {
    throw new IllegalStateException("request %s is a model request".formatted(request));
  }

  @Override
  public void problem(Problem problem) {
    if (sender.isEmpty()) {
      onEnded.run();
      ProblemDocument.send(context, problem, request);
      return;
    }
    // Without [DONE], so that a client that ignores the event does not take the answer as whole.
    String json = new String(ProblemDocument.json(problem, request), StandardCharsets.UTF_8);
    endWith(("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
  }

  private void endWith(byte[] bytes) {
    onEnded.run();
    write(bytes);
    sender.forEach(Sender::close);
  }

  private void write(byte[] bytes) {
    if (waitingBytes.addAndGet(bytes.length) > MAX_WAITING_BYTES) {
      onTooSlow.run();
      return;
    }
    if (sender.isEmpty()) {
      context.setResponseHeader("X-Request-Id", request.value());
      context.setResponseHeader("Cache-Control", "no-cache");
      context.setResponseType("text/event-stream");
      sender = Option.some(context.responseSender());
    }
    sender.get().write(bytes, (written, failure) -> waitingBytes.addAndGet(-(long) bytes.length));
  }

  private static byte[] join(byte[] first, byte[] second) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream(first.length + second.length);
    joined.writeBytes(first);
    joined.writeBytes(second);
    return joined.toByteArray();
  }
}
