package io.zinniawood.relay.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.zinniawood.core.relay.RelayRequestId;
import java.util.HashMap;
import java.util.Map;

/** Complete answers that wait for the reducer's decision. */
final class PendingAnswers {
  private final Map<RelayRequestId, Answer> answers = new HashMap<>();

  /** A complete answer; its content is valid until the answer is released. */
  record Answer(HttpResponse head, ByteBuf content) {}

  /** Adds an answer in place of an earlier one and takes ownership of its content. */
  void put(RelayRequestId id, HttpResponse head, ByteBuf content) {
    release(id);
    answers.put(id, new Answer(head, content));
  }

  /** Returns the answer to a request, or null if none is pending. */
  Answer get(RelayRequestId id) {
    return answers.get(id);
  }

  void release(RelayRequestId id) {
    Answer dropped = answers.remove(id);
    if (dropped != null) {
      dropped.content().release();
    }
  }
}
