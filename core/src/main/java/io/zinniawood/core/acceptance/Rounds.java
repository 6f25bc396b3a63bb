package io.zinniawood.core.acceptance;

import io.vavr.collection.Vector;
import io.zinniawood.core.runtime.Step;

/** Starts and ends rounds, with exponential backoff after failures. */
final class Rounds {
  /**
   * Exceeds the HTTP timeouts of the platform clients, so that a client reports its own error
   * first.
   */
  static final long STEP_TIMEOUT_NANOS = 10_000_000_000L;

  static final long INITIAL_BACKOFF_NANOS = 200_000_000L;
  static final long MAX_BACKOFF_NANOS = 5_000_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 10;

  private Rounds() {}

  static Step<AcceptanceState, AcceptanceEffect> start(AcceptanceState state) {
    if (!(state.phase() instanceof AcceptancePhase.Idle)) {
      return Step.of(state);
    }
    AcceptanceState next =
        state
            .copy()
            .round(state.round() + 1)
            .roundRequested(false)
            .phase(new AcceptancePhase.ReadingRow())
            .build();
    return Step.of(
        next,
        new AcceptanceEffect.CancelTimer(AcceptanceTimer.POLL),
        stepTimer(),
        new AcceptanceEffect.ReadRow(next.round()));
  }

  static Step<AcceptanceState, AcceptanceEffect> startOrRequest(AcceptanceState state) {
    return state.phase() instanceof AcceptancePhase.Idle
        ? start(state)
        : Step.of(state.copy().roundRequested(true).build());
  }

  static Step<AcceptanceState, AcceptanceEffect> timerFired(
      AcceptanceState state, AcceptanceTimer timer) {
    return switch (timer) {
      case POLL -> start(state);
      case STEP ->
          state.phase() instanceof AcceptancePhase.Idle
              ? Step.of(state)
              : Proposals.storeFailed(
                  state,
                  new StoreFailure(
                      StoreFailure.Kind.RESPONSE_LOST,
                      "the store did not respond within %d ms"
                          .formatted(STEP_TIMEOUT_NANOS / 1_000_000)));
    };
  }

  static Step<AcceptanceState, AcceptanceEffect> changePollMode(
      AcceptanceState state, PollMode mode) {
    if (mode == state.mode()) {
      return Step.of(state);
    }
    AcceptanceState next = state.copy().mode(mode).build();
    return mode == PollMode.POLLING ? startOrRequest(next) : Step.of(next);
  }

  /** Ends a round that succeeded; the next one starts after the poll interval. */
  static Step<AcceptanceState, AcceptanceEffect> finish(AcceptanceState state) {
    return endRound(
        state.copy().consecutiveFailures(0).partialRead(PartialRead.NONE).build(),
        state.pollIntervalNanos());
  }

  /** Ends a round that failed; the next one starts from the beginning after a backoff. */
  static Step<AcceptanceState, AcceptanceEffect> retry(
      AcceptanceState state, AcceptanceNotice notice) {
    PartialRead partial = PartialRead.of(state);
    // A round that read further files made progress, so the backoff starts again.
    boolean progress = partial.files().size() > state.partialRead().files().size();
    int failures = progress ? 0 : state.consecutiveFailures();
    int doublings = Math.min(failures, MAX_BACKOFF_DOUBLINGS);
    long delayNanos = Math.min(INITIAL_BACKOFF_NANOS << doublings, MAX_BACKOFF_NANOS);
    Step<AcceptanceState, AcceptanceEffect> ended =
        endRound(
            state
                .copy()
                .consecutiveFailures(failures + 1)
                .partialRead(partial)
                .roundRequested(false)
                .build(),
            delayNanos);
    return new Step<>(
        ended.state(),
        Vector.<AcceptanceEffect>of(new AcceptanceEffect.Notify(notice))
            .appendAll(ended.effects()));
  }

  static AcceptanceEffect stepTimer() {
    return new AcceptanceEffect.StartTimer(AcceptanceTimer.STEP, STEP_TIMEOUT_NANOS);
  }

  private static Step<AcceptanceState, AcceptanceEffect> endRound(
      AcceptanceState state, long delayNanos) {
    long random = nextRandom(state.randomState());
    AcceptanceState idle =
        state.copy().randomState(random).phase(new AcceptancePhase.Idle()).build();
    Vector<AcceptanceEffect> cancel =
        Vector.of(new AcceptanceEffect.CancelTimer(AcceptanceTimer.STEP));
    if (state.roundRequested()) {
      return new Step<>(start(idle).state(), cancel.appendAll(start(idle).effects()));
    }
    boolean polls = idle.mode() == PollMode.POLLING || idle.inForce().isEmpty();
    if (!polls) {
      return new Step<>(idle, cancel);
    }
    return new Step<>(
        idle,
        cancel.append(
            new AcceptanceEffect.StartTimer(AcceptanceTimer.POLL, jitter(random, delayNanos))));
  }

  /** Returns 75% to 125% of the delay, so that entries that fail together do not retry together. */
  private static long jitter(long random, long delayNanos) {
    long halfNanos = Math.max(1, delayNanos / 2);
    return delayNanos - halfNanos / 2 + Long.remainderUnsigned(random, halfNanos);
  }

  /** Returns the next value of a pseudo-random sequence, with the mixer of SplitMix64. */
  static long nextRandom(long value) {
    long mixed = value + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
