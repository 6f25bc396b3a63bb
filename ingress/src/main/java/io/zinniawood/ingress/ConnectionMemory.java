package io.zinniawood.ingress;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;

/** Estimated memory that the messages on one caller's connection hold, by what holds it. */
public final class ConnectionMemory {
  private final CallerMemory budget;
  private final Owner owner;
  private final Map<Part, Long> parts = new EnumMap<>(Part.class);
  private long heldBytes;
  private boolean closed;

  /** What holds memory on a connection. */
  public enum Part {
    /** Head, trailers and chunk framing that the HTTP decoder has not passed on yet. */
    DECODER,
    /** Head of the request that is read or in progress. */
    REQUEST,
    /** Messages that are queued behind the request in progress. */
    QUEUE,
    /** Answers that were written and not sent yet. */
    ANSWERS
  }

  /** Connection that holds the memory. */
  public interface Owner {
    /** Returns the parts that are released by {@link #giveWay}. */
    Set<Part> releasableParts();

    /** Releases what the connection can release, and closes it as soon as possible. */
    void giveWay();

    /**
     * Returns the size of complete answers that the caller does not take, or 0 if it takes them.
     */
    long untakenBytes();

    /** Closes the connection; the rest of its answers is lost. */
    void disconnect();

    /** Returns whether no request is in progress and all answers are sent. */
    boolean idle();

    /** Closes the idle connection, as callers have too many. */
    void closeIdle();
  }

  ConnectionMemory(CallerMemory budget, Owner owner) {
    this.budget = budget;
    this.owner = owner;
  }

  /** Sets the size of a part; if memory is short, a connection gives way, possibly this one. */
  public void set(Part part, long bytes) {
    if (closed) {
      return;
    }
    Long before = parts.put(part, bytes);
    long deltaBytes = bytes - (before == null ? 0 : before);
    heldBytes += deltaBytes;
    if (deltaBytes != 0) {
      budget.changed(this, deltaBytes);
    }
  }

  /** Adds to the size of a part. */
  public void add(Part part, long deltaBytes) {
    set(part, parts.getOrDefault(part, 0L) + deltaBytes);
  }

  /** Counts the connection, which is open now; if there are too many, an idle one is closed. */
  public void connected() {
    budget.limitConnections();
  }

  /** Records that the connection has answered a request. */
  public void requestEnded() {
    budget.requestEnded(this);
  }

  boolean idle() {
    return owner.idle();
  }

  void closeIdle() {
    owner.closeIdle();
  }

  /** Releases all parts; the connection is closed. */
  public void close() {
    for (Part part : Part.values()) {
      set(part, 0);
    }
    closed = true;
    budget.closed(this);
  }

  /** Returns the size of all parts, in bytes. */
  public long heldBytes() {
    return heldBytes;
  }

  long releasableBytes() {
    return owner.releasableParts().stream().mapToLong(part -> parts.getOrDefault(part, 0L)).sum();
  }

  long untakenBytes() {
    return owner.untakenBytes();
  }

  void disconnect() {
    owner.disconnect();
  }

  void giveWay() {
    owner.giveWay();
  }
}
