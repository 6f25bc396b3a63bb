package io.zinniawood.http;

import java.util.concurrent.atomic.AtomicReference;

/** Records whether the sending of a request has started; attached to the request as a tag. */
final class SendMonitor {
  private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

  private enum State {
    WAITING,
    SENDING,
    ABANDONED
  }

  /**
   * Marks the request as being sent; returns false if it must not be sent because it was abandoned
   * or its sending has already started.
   */
  boolean startSending() {
    return state.compareAndSet(State.WAITING, State.SENDING);
  }

  /** Prevents a waiting request from being sent; returns false if it is not waiting any more. */
  boolean abandon() {
    return state.compareAndSet(State.WAITING, State.ABANDONED);
  }

  /** Returns whether any part of the request may have been sent. */
  boolean sendStarted() {
    return state.get() == State.SENDING;
  }
}
