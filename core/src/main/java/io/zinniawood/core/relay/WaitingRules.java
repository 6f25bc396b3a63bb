package io.zinniawood.core.relay;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.waiting.ServiceWaiting;
import io.zinniawood.core.waiting.UrgencyOrder;
import io.zinniawood.core.waiting.WaitForecast;
import io.zinniawood.core.waiting.WaitQuery;
import io.zinniawood.core.waiting.WaitVerdict;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/**
 * Applies the forecast and the order of waiting requests to the services for which they are in
 * force. The rule from before decides for all others, and where a decision fails.
 */
final class WaitingRules {
  /** Urgency at endpoints of the most urgent routes of a service. */
  private static final int URGENT = 3;

  /** A refusal later than this part of the target latency counts as late. */
  private static final long LATE_DIVISOR = 8;

  private final Map<ServiceName, ServiceWaiting> services = new HashMap<>();
  private final Map<ServiceName, Integer> inFlight = new HashMap<>();
  private long countedNanos;
  private long refusals;
  private long lateRefusals;

  long refusals() {
    return refusals;
  }

  long lateRefusals() {
    return lateRefusals;
  }

  int expectedReturns() {
    return services.values().stream().mapToInt(service -> service.returns().size()).sum();
  }

  private static boolean forecast(RelayTurn turn, OpenRequest open) {
    return turn.state.scheduling(SchedulingPart.WAIT_FORECAST, open.service);
  }

  static boolean ordered(RelayTurn turn, OpenRequest open) {
    return turn.state.scheduling(SchedulingPart.URGENCY_ORDER, open.service);
  }

  private static boolean inForce(RelayTurn turn, OpenRequest open) {
    return forecast(turn, open) || ordered(turn, open);
  }

  private ServiceWaiting of(OpenRequest open) {
    return services.computeIfAbsent(open.service, service -> new ServiceWaiting());
  }

  /** Runs a decision; returns the result of the rule from before if it fails. */
  private static <T> T decide(RelayTurn turn, String subject, T before, Supplier<T> decision) {
    try {
      return decision.get();
    } catch (RuntimeException failure) {
      FailureContainment.log(turn, subject, failure);
      return before;
    }
  }

  /** Returns whether the routes of a service differ in priority and this is a most urgent one. */
  private static boolean urgent(RelayTurn turn, OpenRequest open) {
    return urgentPriority(turn, open).filter(urgent -> urgent == open.route.priority()).isPresent();
  }

  private static Optional<Integer> urgentPriority(RelayTurn turn, OpenRequest open) {
    return turn.state.routes.flatMap(table -> table.urgentPriority(open.service));
  }

  /** Returns the urgency of a request in the queues of endpoints. */
  static int urgency(RelayTurn turn, OpenRequest open) {
    return ordered(turn, open) && urgent(turn, open) ? URGENT : SendOptions.DEFAULT_URGENCY;
  }

  void arrived(RelayTurn turn, OpenRequest open) {
    if (inForce(turn, open)) {
      decide(turn, "wait-arrival", false, () -> recordArrival(turn, open));
    }
  }

  private boolean recordArrival(RelayTurn turn, OpenRequest open) {
    ServiceWaiting service = of(open);
    if (service.returns().expected(open.account)
        && service.returns().returned(open.account, open.fingerprint(), turn.nowNanos)) {
      open.waiting.markReturning();
    }
    turn.state
        .engine(open.service)
        .map(EngineProfile::meanAnswerTokens)
        .ifPresent(mean -> open.waiting.setCost(open.request.expectedTokens(mean)));
    open.waiting.setStarted(open.headRelayed);
    if (forecast(turn, open)) {
      open.waiting.setWaitLimitNanos(open.targetNanos());
    }
    if (urgent(turn, open)) {
      service.urgentArrived(turn.nowNanos);
    }
    service.arrived(open.waiting, turn.nowNanos);
    if (ordered(turn, open)) {
      service.guarantee(open.waiting, turn.nowNanos);
    }
    return true;
  }

  void sent(RelayTurn turn, OpenRequest open) {
    if (!inForce(turn, open)) {
      return;
    }
    decide(turn, "wait-sent", false, () -> recordSent(turn, open));
  }

  private boolean recordSent(RelayTurn turn, OpenRequest open) {
    ServiceWaiting service = of(open);
    if (open.sends == 1) {
      service.served(open.waiting, turn.nowNanos);
      service.forecast().sent(open.expectedFirstEventMillis);
      open.waiting
          .predictedMillis()
          .ifPresent(
              millis ->
                  service
                      .forecast()
                      .waited(open.waiting.group(), millis, turn.millisSince(open.arrivedNanos)));
    }
    service.waitEnded(open.waiting);
    for (OpenRequest other : turn.state.waiting) {
      if (other != open && other.service.equals(open.service)) {
        other.waiting.otherSent(open.waiting);
      }
    }
    return true;
  }

  /** Records the end of a request; its endpoints are still known. */
  void ended(RelayTurn turn, OpenRequest open) {
    if (inForce(turn, open)) {
      ServiceWaiting service = of(open);
      service.waitEnded(open.waiting);
      if (open.target.isPresent()) {
        service.forecast().ended(turn.nowNanos, turn.millisSince(open.sentNanos));
      }
    }
  }

  /** Returns whether the capacity that is left is kept for more urgent requests. */
  boolean reserveKept(RelayTurn turn, OpenRequest open) {
    if (!ordered(turn, open)
        || open.headRelayed
        || open.waiting.guaranteed()
        || open.waiting.due(turn.nowNanos)
        || urgentPriority(turn, open).isEmpty()
        || urgent(turn, open)
        || !of(open).reserve().kept(turn.nowNanos)) {
      return false;
    }
    return decide(
        turn,
        "urgent-reserve",
        false,
        () -> {
          double used = ServiceUsage.shareWith(turn, open.service, open.waiting.cost());
          return !of(open).reserve().permits(turn.nowNanos, used);
        });
  }

  /** Returns waiting requests in the order in which they are to be sent. */
  static List<OpenRequest> sort(
      RelayTurn turn, List<OpenRequest> requests, Comparator<OpenRequest> before) {
    List<OpenRequest> byArrival = new ArrayList<>(requests);
    byArrival.sort(before);
    List<OpenRequest> sorted = new ArrayList<>(byArrival.size());
    Map<ServiceName, List<OpenRequest>> ordered = new LinkedHashMap<>();
    for (OpenRequest open : byArrival) {
      if (ordered(turn, open)) {
        ordered.computeIfAbsent(open.service, service -> new ArrayList<>()).add(open);
      } else {
        sorted.add(open);
      }
    }
    // Services do not compete, so only the order within each of them matters.
    ordered.forEach(
        (service, group) ->
            sorted.addAll(
                decide(turn, "urgency-order", group, () -> byUrgency(turn, service, group))));
    return sorted;
  }

  private static List<OpenRequest> byUrgency(
      RelayTurn turn, ServiceName service, List<OpenRequest> group) {
    Map<Optional<ClientAccountId>, Long> inUse = new HashMap<>();
    for (OpenRequest open : turn.state.open.values()) {
      if (open.target.isPresent() && open.service.equals(service)) {
        inUse.merge(open.account, open.waiting.cost(), Long::sum);
      }
    }
    group.forEach(open -> open.waiting.setStarted(open.headRelayed));
    return UrgencyOrder.sort(
        group, open -> open.waiting, account -> inUse.getOrDefault(account, 0L), turn.nowNanos);
  }

  /** Returns whether a request is the next one of its service and keeps others from passing. */
  static boolean isNext(RelayTurn turn, OpenRequest open) {
    // A request that avoids endpoints may wait for one that is full while others have capacity.
    return ordered(turn, open) && open.excluded.isEmpty() && open.waiting.due(turn.nowNanos);
  }

  /**
   * Refuses a request that arrived and cannot be sent in time, as the forecast says.
   *
   * @param ahead requests of the service that are sent before
   * @return the verdict; {@link WaitVerdict#UNKNOWN} if the rule from before decides
   */
  WaitVerdict checkNew(RelayTurn turn, OpenRequest open, int ahead) {
    return check(
        turn,
        open,
        ahead,
        (forecast, query) -> {
          open.waiting.setPredictedMillis(forecast.waitMillis(query));
          return forecast.decide(query);
        });
  }

  /**
   * Refuses a request that was let in if it would use up its time limit.
   *
   * @param ahead requests of the service that are sent before
   * @return the verdict; {@link WaitVerdict#UNKNOWN} if the rule from before decides
   */
  WaitVerdict checkWaiting(RelayTurn turn, OpenRequest open, int ahead) {
    long maxWaitNanos = (open.deadlineNanos - open.arrivedNanos) / 2;
    boolean timeLeft = turn.nowNanos - open.arrivedNanos < maxWaitNanos;
    return check(
        turn,
        open,
        ahead,
        (forecast, query) ->
            !forecast.rateKnown()
                ? WaitVerdict.UNKNOWN
                : timeLeft && forecast.withinLimit(query) ? WaitVerdict.LATE : WaitVerdict.REFUSE);
  }

  private WaitVerdict check(
      RelayTurn turn,
      OpenRequest open,
      int ahead,
      BiFunction<WaitForecast, WaitQuery, WaitVerdict> rule) {
    // A refusal of a request that may have run leaves its caller without a known outcome.
    if (!forecast(turn, open)
        || open.headRelayed
        || open.possibleRuns > 0
        || open.lostInCrash.isPresent()) {
      return WaitVerdict.UNKNOWN;
    }
    WaitVerdict verdict =
        decide(
            turn,
            "wait-forecast",
            WaitVerdict.UNKNOWN,
            () -> rule.apply(of(open).forecast(), query(turn, open, ahead)));
    if (verdict == WaitVerdict.REFUSE) {
      refuse(turn, open, ahead);
    }
    return verdict;
  }

  private WaitQuery query(RelayTurn turn, OpenRequest open, int ahead) {
    double overtakersPerSecond =
        ordered(turn, open)
                && !open.waiting.guaranteed()
                && urgentPriority(turn, open).isPresent()
                && !urgent(turn, open)
            ? of(open).urgentPerSecond(turn.nowNanos)
            : 0;
    return new WaitQuery(
        turn.nowNanos,
        ahead,
        overtakersPerSecond,
        open.waiting.group(),
        inFlight(turn, open.service),
        open.arrivedNanos + open.targetNanos(),
        open.deadlineNanos);
  }

  /** Returns the requests in flight at the start of a turn; a tick asks for each that waits. */
  private int inFlight(RelayTurn turn, ServiceName service) {
    if (countedNanos != turn.nowNanos) {
      countedNanos = turn.nowNanos;
      inFlight.clear();
      for (OpenRequest open : turn.state.open.values()) {
        if (open.target.isPresent()) {
          inFlight.merge(open.service, 1, Integer::sum);
        }
      }
    }
    return inFlight.getOrDefault(service, 0);
  }

  private void refuse(RelayTurn turn, OpenRequest open, int ahead) {
    WaitForecast forecast = of(open).forecast();
    WaitQuery query = query(turn, open, ahead);
    long retryAfterMillis = forecast.retryAfterMillis(query, turn.state.random.nextDouble());
    boolean late = turn.nowNanos - open.arrivedNanos > open.targetNanos() / LATE_DIVISOR;
    turn.state.waiting.remove(open);
    refusals++;
    lateRefusals += late ? 1 : 0;
    turn.state.ignoredLog.log(
        turn,
        "wait-forecast",
        "request",
        open.logId(),
        "route",
        open.route.name(),
        "ahead",
        ahead,
        "expectedWaitMillis",
        (long) forecast.waitMillis(query),
        "waitedMillis",
        turn.millisSince(open.arrivedNanos),
        "retryAfterMillis",
        retryAfterMillis);
    refuseFor(turn, open, "wait-forecast", retryAfterMillis);
  }

  /** Refuses a request for lack of capacity without a verdict of the forecast. */
  void refuseForCapacity(RelayTurn turn, OpenRequest open, String reason) {
    if (!forecast(turn, open) || !of(open).forecast().rateKnown()) {
      AttemptOutcomes.refuse(turn, open, reason);
      return;
    }
    WaitQuery query = query(turn, open, turn.state.waiting.size());
    long retryAfterMillis =
        of(open).forecast().retryAfterMillis(query, turn.state.random.nextDouble());
    refuseFor(turn, open, reason, retryAfterMillis);
  }

  private void refuseFor(RelayTurn turn, OpenRequest open, String reason, long retryAfterMillis) {
    if (!open.headRelayed && open.possibleRuns == 0) {
      of(open).returns().refused(open.account, open.fingerprint(), turn.nowNanos, retryAfterMillis);
    }
    AttemptOutcomes.refuseFor(turn, open, reason, retryAfterMillis);
  }
}
