package io.zinniawood.relay.internal;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import io.zinniawood.ingress.HeadCost;
import java.util.ArrayDeque;
import java.util.Deque;

/** Messages of a caller that are queued behind the request in progress. */
final class PipelinedMessages {
  private static final int MAX_MESSAGES = 64;
  private static final int MAX_BYTES = 16 * 1024;

  /** Estimated memory with heads above which reading pauses; about 20 ordinary requests. */
  private static final long MAX_HELD_BYTES = 64 * 1024;

  private final Deque<Object> messages = new ArrayDeque<>();
  private int bytes;
  private long heldBytes;

  void add(Object message) {
    messages.addLast(message);
    bytes += contentBytes(message);
    heldBytes += HeadCost.of(message);
  }

  Object poll() {
    Object message = messages.pollFirst();
    bytes -= contentBytes(message);
    heldBytes -= HeadCost.of(message);
    return message;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Returns whether reading from the caller should pause. */
  boolean full() {
    return messages.size() >= MAX_MESSAGES || bytes >= MAX_BYTES || heldBytes >= MAX_HELD_BYTES;
  }

  /** Returns the estimated memory of the queue, heads included. */
  long heldBytes() {
    return heldBytes;
  }

  int requests() {
    return (int) messages.stream().filter(HttpRequest.class::isInstance).count();
  }

  void release() {
    messages.forEach(ReferenceCountUtil::release);
    messages.clear();
    bytes = 0;
    heldBytes = 0;
  }

  private static int contentBytes(Object message) {
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }
}
