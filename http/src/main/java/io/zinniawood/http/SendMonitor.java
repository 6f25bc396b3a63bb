package io.zinniawood.http;

import java.util.concurrent.atomic.AtomicReference;

/** Records whether a call began to send its request; attached to the request as a tag. */
final class SendMonitor {
  private final AtomicReference<State> state = new AtomicReference<>(State.WAITING);

  private enum State {
    WAITING,
    SENDING,
    ABANDONED
  }

  /** Marks the call as sending; returns false if it was abandoned and must not be sent. */
  boolean startSending() {
    return state.compareAndSet(State.WAITING, State.SENDING);
  }

  /** Ensures that a waiting call is never sent; returns false if it was sent already. */
  boolean abandon() {
    return state.compareAndSet(State.WAITING, State.ABANDONED);
  }

  /** Returns whether a part of the request may have been sent. */
  boolean sendStarted() {
    return state.get() == State.SENDING;
  }
}
