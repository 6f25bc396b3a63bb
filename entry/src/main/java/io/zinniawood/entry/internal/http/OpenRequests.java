package io.zinniawood.entry.internal.http;

import io.vavr.control.Option;
import io.zinniawood.core.id.RequestId;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Requests whose callers wait; bounded. Safe for use by several threads. */
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
   * @param onAbandoned is told each request whose caller went away before the end
   */
  public OpenRequests(int maxOpen, Consumer<RequestId> onAbandoned) {
    this.maxOpen = maxOpen;
    this.onAbandoned = onAbandoned;
  }

  /** Adds a request; returns false if the bound is reached. */
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

  /** Removes a request whose caller went away; does nothing if it ended before. */
  void abandon(RequestId request) {
    if (remove(request).isDefined()) {
      onAbandoned.accept(request);
    }
  }

  /** Counts a response whose last bytes are about to be written. */
  void beginFinalWrite() {
    unsentResponses.incrementAndGet();
  }

  /** Ends the count of a response whose bytes are sent or dropped. */
  void endFinalWrite() {
    unsentResponses.decrementAndGet();
  }

  /** Returns the number of responses that have ended but are not sent yet. */
  public int unsentResponses() {
    return unsentResponses.get();
  }

  /** Returns the number of open requests. */
  public int count() {
    return openCount.get();
  }
}
