package io.zinniawood.core.relay;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.waiting.WaitVerdict;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Queue of requests that wait for an endpoint, with their order and maximum wait. */
final class WaitingQueue {
  /** Maximum length of the queue, as each request in it is checked in every tick. */
  private static final int MAX_WAITING = 512;

  /**
   * Maximum wait of a request without an answer, as a share of its route's target latency. A
   * request that waited longer would miss the target and delay those behind it.
   */
  static final double MAX_WAIT_PER_TARGET_LATENCY = 0.6;

  /** Failed dispatches of a service in one tick after which its other requests are skipped. */
  private static final int MAX_MISSES_PER_TICK = 2;

  /** Maximum wait, since the last event, of a stream that the caller has partly received. */
  private static final long MAX_RESUME_WAIT_MILLIS = 1_500;

  /** Time for capacity to become free after a request waited for evidence about a crash. */
  private static final long CAPACITY_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final Comparator<OpenRequest> ORDER =
      Comparator.comparing((OpenRequest open) -> !open.headRelayed)
          .thenComparingInt(open -> open.priority)
          .thenComparingLong(open -> open.arrivedNanos);

  private WaitingQueue() {}

  /**
   * Sends a request, enqueues it if no capacity is free, or refuses it if there is no usable
   * endpoint or the queue is full. A stream that has begun waits even without a usable endpoint.
   */
  static void dispatchOrEnqueue(RelayTurn turn, OpenRequest open) {
    if (GracePeriod.tooLate(turn, open)) {
      GracePeriod.end(turn, open);
      return;
    }
    Optional<CrashSubject> held = CrashWatch.refusedSubject(turn, open);
    if (held.isPresent()) {
      CrashWatch.refuse(turn, open, held.get());
      return;
    }
    if (CrashWatch.mustWait(turn, open)) {
      enqueue(turn, open);
      return;
    }
    // Where the order is in force, a new request is not even tried before those that wait.
    int orderedBefore = WaitingRules.ordered(turn, open) ? requestsBefore(turn, open) : 0;
    Dispatcher.Result result =
        orderedBefore > 0 ? Dispatcher.Result.ALL_BUSY : Dispatcher.dispatch(turn, open);
    if (result == Dispatcher.Result.SENT) {
      return;
    }
    if (result == Dispatcher.Result.TOO_LATE) {
      GracePeriod.end(turn, open);
      return;
    }
    if (result == Dispatcher.Result.NO_USABLE_ENDPOINT && !open.headRelayed) {
      EndpointAvailability.refuseWithoutEndpoint(turn, open);
      return;
    }
    int before = WaitingRules.ordered(turn, open) ? orderedBefore : requestsBefore(turn, open);
    OptionalLong available = EndpointAvailability.of(turn, open).nanosAfter(before);
    if (!refuseIfTooLate(turn, open, available)
        && turn.state.waitingRules.checkNew(turn, open, before) != WaitVerdict.REFUSE) {
      enqueue(turn, open);
    }
  }

  private static int requestsBefore(RelayTurn turn, OpenRequest open) {
    if (WaitingRules.ordered(turn, open)) {
      List<OpenRequest> competing = new ArrayList<>();
      for (OpenRequest waiting : turn.state.waiting) {
        if (waiting.service.equals(open.service) && !CrashWatch.mustWait(turn, waiting)) {
          competing.add(waiting);
        }
      }
      if (competing.isEmpty()) {
        return 0;
      }
      competing.add(open);
      return WaitingRules.sort(turn, competing, ORDER).indexOf(open);
    }
    int before = 0;
    for (OpenRequest waiting : turn.state.waiting) {
      if (waiting.service.equals(open.service) && ORDER.compare(waiting, open) < 0) {
        before++;
      }
    }
    return before;
  }

  /** Refuses a request without an answer that can only be sent after its maximum wait. */
  private static boolean refuseIfTooLate(
      RelayTurn turn, OpenRequest open, OptionalLong availableNanos) {
    boolean tooLate =
        !open.headRelayed
            && availableNanos.isPresent()
            && availableNanos.getAsLong() - waitEndNanos(open) >= 0;
    if (tooLate) {
      turn.state.waiting.remove(open);
      EndpointAvailability.refuse(turn, open, availableNanos.getAsLong());
    }
    return tooLate;
  }

  private static void enqueue(RelayTurn turn, OpenRequest open) {
    if (turn.state.waiting.size() >= MAX_WAITING) {
      turn.state.waitingRules.refuseForCapacity(turn, open, "queue-full");
      return;
    }
    open.phase = OpenRequest.Phase.WAITING;
    turn.state.waiting.add(open);
    turn.log("request-waiting", "request", open.logId(), "waiting", turn.state.waiting.size());
  }

  /** Dispatches waiting requests in order and refuses those that exceeded their maximum wait. */
  static void dispatchWaiting(RelayTurn turn) {
    dispatchWaiting(turn, turn.state.waiting);
  }

  /**
   * Dispatches requests that wait for the capacity of one that has ended. New requests do not pass
   * them where the order is in force, so the capacity would be unused until the next tick.
   */
  static void dispatchAfterEnd(RelayTurn turn, OpenRequest ended) {
    if (WaitingRules.ordered(turn, ended)) {
      dispatchWaiting(
          turn,
          turn.state.waiting.stream()
              .filter(waiting -> waiting.service.equals(ended.service))
              .toList());
    }
  }

  private static void dispatchWaiting(RelayTurn turn, List<OpenRequest> waiting) {
    if (waiting.isEmpty()) {
      return;
    }
    List<OpenRequest> candidates = WaitingRules.sort(turn, waiting, ORDER);
    Map<ServiceName, Integer> misses = new HashMap<>();
    Map<ServiceName, EndpointAvailability> availabilities = new HashMap<>();
    for (OpenRequest open : candidates) {
      FailureContainment.run(
          turn,
          "waiting-queue",
          Optional.of(open.id),
          () -> dispatchWaiting(turn, open, misses, availabilities));
    }
  }

  private static void dispatchWaiting(
      RelayTurn turn,
      OpenRequest open,
      Map<ServiceName, Integer> misses,
      Map<ServiceName, EndpointAvailability> availabilities) {
    if (open.phase != OpenRequest.Phase.WAITING || !turn.state.open.containsKey(open.id)) {
      turn.state.waiting.remove(open);
      return;
    }
    if (GracePeriod.tooLate(turn, open)) {
      GracePeriod.end(turn, open);
      return;
    }
    Optional<CrashSubject> held = CrashWatch.refusedSubject(turn, open);
    if (held.isPresent()) {
      turn.state.waiting.remove(open);
      CrashWatch.refuse(turn, open, held.get());
      return;
    }
    if (CrashWatch.mustWait(turn, open)) {
      return;
    }
    int ahead = misses.getOrDefault(open.service, 0);
    EndpointAvailability availability =
        availabilities.computeIfAbsent(
            open.service, service -> EndpointAvailability.of(turn, open));
    if (refuseIfTooLate(turn, open, availability.nanosAfter(ahead))) {
      return;
    }
    WaitVerdict verdict = turn.state.waitingRules.checkWaiting(turn, open, ahead);
    if (verdict == WaitVerdict.REFUSE) {
      return;
    }
    boolean tried = ahead < MAX_MISSES_PER_TICK;
    Dispatcher.Result result = tried ? Dispatcher.dispatch(turn, open) : Dispatcher.Result.ALL_BUSY;
    if (result == Dispatcher.Result.SENT) {
      turn.state.waiting.remove(open);
      return;
    }
    if (result == Dispatcher.Result.TOO_LATE) {
      GracePeriod.end(turn, open);
      return;
    }
    misses.merge(
        open.service, WaitingRules.isNext(turn, open) ? MAX_MISSES_PER_TICK : 1, Integer::sum);
    if (verdict == WaitVerdict.UNKNOWN && turn.nowNanos - waitEndNanos(open) >= 0) {
      turn.state.waiting.remove(open);
      turn.state.waitingRules.refuseForCapacity(turn, open, "no-capacity");
    }
  }

  private static long waitEndNanos(OpenRequest open) {
    if (open.headRelayed) {
      return open.lastProgressNanos + TimeUnit.MILLISECONDS.toNanos(MAX_RESUME_WAIT_MILLIS);
    }
    long suspectNanos =
        open.lostInCrash.isPresent()
            ? open.lostNanos + CrashWatch.MAX_SUSPECT_WAIT_NANOS + CAPACITY_WAIT_NANOS
            : open.arrivedNanos;
    double waitMillis = MAX_WAIT_PER_TARGET_LATENCY * open.route.targetLatencyMillis();
    long endNanos = open.arrivedNanos + (long) (waitMillis * TimeUnit.MILLISECONDS.toNanos(1));
    return Math.max(endNanos, suspectNanos);
  }
}
