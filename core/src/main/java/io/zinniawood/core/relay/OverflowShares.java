package io.zinniawood.core.relay;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.ServiceName;
import io.zinniawood.core.overflow.DataCentreRoom;
import io.zinniawood.core.overflow.HomeWait;
import io.zinniawood.core.overflow.OverflowDecision;
import io.zinniawood.core.overflow.OverflowInputs;
import io.zinniawood.core.overflow.OverflowPolicy;
import io.zinniawood.core.overflow.OverflowReason;
import io.zinniawood.core.overflow.TransferBytes;
import io.zinniawood.core.route.EngineProfile;
import io.zinniawood.core.route.RoutedService;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/** Shares of requests that may leave the own data centre, decided for each service in the tick. */
final class OverflowShares {
  /** Time between two decisions; a share changes by at most 0.025 in it. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Age from which a decision no longer counts, for example as its evaluation fails. */
  private static final long MAX_DECISION_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time for which a departure shows that requests would wait in a full data centre. */
  private static final long RECENT_DEPARTURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Change of the total share after which it is logged again. */
  private static final double LOGGED_SHARE_CHANGE = 0.25;

  private static final double HUNDREDTHS = 100;

  private final Map<ServiceName, ServiceOverflow> byService = new HashMap<>();
  private final BoundedLog log = new BoundedLog();
  private long nextDecisionNanos;
  private boolean anyDecision;
  private double endedServicesBytes;

  /** State of one service. */
  static final class ServiceOverflow {
    private final OverflowPolicy policy = new OverflowPolicy();
    private Optional<OverflowDecision> decision = Optional.empty();
    private long decidedNanos;
    private boolean anyDeparture;
    private long lastDepartureNanos;
    private double bytes;
    private double loggedBytes;
    private double loggedShare;
    private OverflowReason loggedReason = OverflowReason.ROOM_AT_HOME;

    /** Returns the decision; empty if it is too old. */
    Optional<OverflowDecision> currentDecision(long nowNanos) {
      return nowNanos - decidedNanos <= MAX_DECISION_AGE_NANOS ? decision : Optional.empty();
    }

    void recordDeparture(double departedBytes, long nowNanos) {
      anyDeparture = true;
      lastDepartureNanos = nowNanos;
      bytes += departedBytes;
    }

    private boolean recentDeparture(long nowNanos) {
      return anyDeparture && nowNanos - lastDepartureNanos <= RECENT_DEPARTURE_NANOS;
    }
  }

  Optional<ServiceOverflow> ofService(ServiceName service) {
    return Optional.ofNullable(byService.get(service));
  }

  /** Returns the last decision on each service. */
  Map<ServiceName, OverflowDecision> decisions() {
    Map<ServiceName, OverflowDecision> decisions = new HashMap<>();
    byService.forEach(
        (name, service) -> service.decision.ifPresent(found -> decisions.put(name, found)));
    return decisions;
  }

  /** Returns the bytes that new requests sent between data centres, as estimated. */
  double totalBytes() {
    return endedServicesBytes
        + byService.values().stream().mapToDouble(service -> service.bytes).sum();
  }

  /** Decides on the shares of all services for which the policy is in force. */
  static void tick(RelayTurn turn) {
    OverflowShares shares = turn.state.overflow;
    boolean due = !shares.anyDecision || turn.nowNanos - shares.nextDecisionNanos >= 0;
    if (!due || turn.state.routes.isEmpty()) {
      return;
    }
    shares.anyDecision = true;
    shares.nextDecisionNanos = turn.nowNanos + INTERVAL_NANOS;
    shares.removeServicesNotInForce(turn);
    for (RoutedService service : turn.state.routes.get().services()) {
      if (service.engine().isPresent()
          && turn.state.scheduling(SchedulingPart.OVERFLOW, service.name())) {
        FailureContainment.run(
            turn,
            "overflow-shares",
            Optional.empty(),
            () -> shares.decide(turn, service.name(), service.engine().get()));
      }
    }
  }

  private void removeServicesNotInForce(RelayTurn turn) {
    byService
        .entrySet()
        .removeIf(
            entry -> {
              boolean ended =
                  turn.state.engine(entry.getKey()).isEmpty()
                      || !turn.state.scheduling(SchedulingPart.OVERFLOW, entry.getKey());
              endedServicesBytes += ended ? entry.getValue().bytes : 0;
              return ended;
            });
  }

  private void decide(RelayTurn turn, ServiceName name, EngineProfile engine) {
    OptionalLong targetMillis = turn.state.routes.orElseThrow().shortestTargetLatencyMillis(name);
    if (targetMillis.isEmpty()) {
      return;
    }
    ServiceOverflow service = byService.computeIfAbsent(name, key -> new ServiceOverflow());
    OverflowRooms rooms = new OverflowRooms(turn, name, engine);
    DataCentreRoom home = rooms.home();
    double requestTokens = engine.meanPromptTokens() + engine.meanAnswerTokens();
    HomeWait homeWait = homeWait(turn, name, service, targetMillis.getAsLong());
    double wholePathBytes =
        TransferBytes.ofWholePath(engine.meanPromptTokens(), engine.meanAnswerTokens());
    OverflowInputs inputs =
        new OverflowInputs(
            home,
            rooms.others(),
            requestTokens,
            homeWait.millis(home, requestTokens),
            targetMillis.getAsLong(),
            PathSelector.REMOTE_FIRST_ENDPOINT_MILLIS
                + TransferBytes.costMillis(
                    wholePathBytes,
                    turn.state.parameters.scheduling().overflowCostMillisPerGigabyte()));
    OverflowDecision decision = service.policy.update(inputs, turn.nowNanos);
    service.decision = Optional.of(decision);
    service.decidedNanos = turn.nowNanos;
    logChange(turn, name, service, decision);
  }

  /**
   * Returns the wait until a forecast exists: none while room is free, else the age of the oldest
   * waiting request. Requests that left a full data centre do not wait, but would have.
   */
  private static HomeWait homeWait(
      RelayTurn turn, ServiceName name, ServiceOverflow service, long targetMillis) {
    return (home, requestTokens) -> {
      if (home.freeTokens() >= requestTokens) {
        return 0;
      }
      long oldestNanos = turn.nowNanos;
      for (OpenRequest open : turn.state.waiting) {
        if (open.service.equals(name) && !open.headRelayed) {
          oldestNanos = Math.min(oldestNanos, open.arrivedNanos);
        }
      }
      double departedMillis =
          service.recentDeparture(turn.nowNanos)
              ? WaitingQueue.MAX_WAIT_PER_TARGET_LATENCY * targetMillis
              : 0;
      return Math.max(turn.millisSince(oldestNanos), departedMillis);
    };
  }

  private void logChange(
      RelayTurn turn, ServiceName name, ServiceOverflow service, OverflowDecision decision) {
    double share = decision.totalShare();
    boolean shareChanged =
        Math.abs(share - service.loggedShare) >= LOGGED_SHARE_CHANGE
            || (share == 0) != (service.loggedShare == 0);
    boolean reasonChanged =
        decision.reason() != service.loggedReason && (share > 0 || service.loggedShare > 0);
    if (!shareChanged && !reasonChanged) {
      return;
    }
    StringJoiner text = new StringJoiner(",");
    for (Map.Entry<DataCentreId, Double> entry : decision.shares().entrySet()) {
      text.add("%s=%.2f".formatted(entry.getKey(), entry.getValue()));
    }
    log.log(
        turn,
        "overflow-share",
        "service",
        name.value(),
        "share",
        Math.round(share * HUNDREDTHS) / HUNDREDTHS,
        "shares",
        text.toString(),
        "crossings",
        decision.crossings().toString(),
        "reason",
        decision.reason().text(),
        "bytes",
        Math.round(service.bytes - service.loggedBytes));
    service.loggedShare = share;
    service.loggedReason = decision.reason();
    service.loggedBytes = service.bytes;
  }
}
