package io.zinniawood.core.relay;

import io.zinniawood.core.id.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Requests that wait for an endpoint: who goes first, and who is told to come back. */
final class WaitingQueue {
  /** Most requests that wait; each one costs a check in every tick. */
  private static final int MAX_WAITING = 512;

  /**
   * Longest wait of a request that has not run, against the target latency of its route. Whoever
   * waits longer would be late, and would make those behind late too.
   */
  private static final double MAX_WAIT_PER_TARGET_LATENCY = 0.6;

  /** Requests of a service that are tried in one tick although the one before found no room. */
  private static final int MAX_MISSES_PER_TICK = 2;

  /** Longest wait of a stream whose caller has a part of it. */
  private static final long MAX_RESUME_WAIT_MILLIS = 1_500;

  private static final Comparator<OpenRequest> ORDER =
      Comparator.comparing((OpenRequest open) -> !open.headRelayed)
          .thenComparingInt(open -> open.priority)
          .thenComparingLong(open -> open.arrivedNanos);

  private WaitingQueue() {}

  /** Sends a new request, or lets it wait if others are in use, or refuses it. */
  static void dispatchOrEnqueue(RelayTurn turn, OpenRequest open) {
    Dispatcher.Result result = Dispatcher.dispatch(turn, open);
    if (result == Dispatcher.Result.SENT) {
      return;
    }
    if (result == Dispatcher.Result.NO_USABLE_ENDPOINT && !open.headRelayed) {
      AttemptOutcomes.refuse(turn, open, "no-endpoint");
      return;
    }
    if (turn.state.waiting.size() >= MAX_WAITING) {
      AttemptOutcomes.refuse(turn, open, "queue-full");
      return;
    }
    open.phase = OpenRequest.Phase.WAITING;
    turn.state.waiting.add(open);
    turn.log("request-waiting", "request", open.logId(), "waiting", turn.state.waiting.size());
  }

  /** Tries the waiting requests in order and refuses those that have waited too long. */
  static void dispatchWaiting(RelayTurn turn) {
    if (turn.state.waiting.isEmpty()) {
      return;
    }
    List<OpenRequest> candidates = new ArrayList<>(turn.state.waiting);
    candidates.sort(ORDER);
    Map<ServiceName, Integer> misses = new HashMap<>();
    for (OpenRequest open : candidates) {
      if (open.phase != OpenRequest.Phase.WAITING || !turn.state.open.containsKey(open.id)) {
        turn.state.waiting.remove(open);
        continue;
      }
      boolean tried = misses.getOrDefault(open.service, 0) < MAX_MISSES_PER_TICK;
      if (tried && Dispatcher.dispatch(turn, open) == Dispatcher.Result.SENT) {
        turn.state.waiting.remove(open);
        continue;
      }
      misses.merge(open.service, 1, Integer::sum);
      if (turn.nowNanos - waitEndNanos(open) >= 0) {
        turn.state.waiting.remove(open);
        AttemptOutcomes.refuse(turn, open, "no-capacity");
      }
    }
  }

  private static long waitEndNanos(OpenRequest open) {
    if (open.headRelayed) {
      return open.lastProgressNanos + TimeUnit.MILLISECONDS.toNanos(MAX_RESUME_WAIT_MILLIS);
    }
    double waitMillis = MAX_WAIT_PER_TARGET_LATENCY * open.route.targetLatencyMillis();
    return open.arrivedNanos + (long) (waitMillis * TimeUnit.MILLISECONDS.toNanos(1));
  }
}
