package io.zinniawood.entry.internal.http;

import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Requests that have not ended yet, up to a maximum number. Thread-safe. */
public final class OpenRequests {
  private final int maxOpen;
  private final Consumer<RequestId> onAbandoned;
  private final ConcurrentMap<RequestId, CallerReply> replies = new ConcurrentHashMap<>();
  private final AtomicInteger openCount = new AtomicInteger();
  private final AtomicInteger unsentResponses = new AtomicInteger();

  /**
   * Creates an empty set.
   *
   * @param maxOpen most open requests
   * @param onAbandoned receives each request whose caller disconnected before it ended
   */
  public OpenRequests(int maxOpen, Consumer<RequestId> onAbandoned) {
    this.maxOpen = maxOpen;
    this.onAbandoned = onAbandoned;
  }

  /** Adds a request; returns false if the maximum number of requests is open. */
  boolean add(RequestId request, CallerReply reply) {
    if (openCount.incrementAndGet() > maxOpen) {
      openCount.decrementAndGet();
      return false;
    }
    replies.put(request, reply);
    return true;
  }

  /** Returns the reply of an open request. */
  public Option<CallerReply> find(RequestId request) {
    return Option.of(replies.get(request));
  }

  /** Removes a request that ended and returns its reply. */
  public Option<CallerReply> remove(RequestId request) {
    Option<CallerReply> removed = Option.of(replies.remove(request));
    removed.forEach(reply -> openCount.decrementAndGet());
    return removed;
  }

  /**
   * Removes a request whose caller disconnected or cannot be answered; does nothing if it has ended
   * already.
   */
  public void abandon(RequestId request) {
    if (remove(request).isDefined()) {
      onAbandoned.accept(request);
    }
  }

  /** Counts a response as unsent; call before its last bytes are written. */
  void beginFinalWrite() {
    unsentResponses.incrementAndGet();
  }

  /** Stops counting a response as unsent; call when its bytes are sent or dropped. */
  void endFinalWrite() {
    unsentResponses.decrementAndGet();
  }

  /** Returns the number of ended requests whose responses are not fully sent. */
  public int unsentResponses() {
    return unsentResponses.get();
  }

  /** Returns the number of open requests. */
  public int count() {
    return openCount.get();
  }
}
