package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.overflow.OverflowDecision;
import io.zinniawood.core.overflow.TransferBytes;
import io.zinniawood.core.path.LayerPath;
import io.zinniawood.core.path.PathPart;
import io.zinniawood.core.route.EngineProfile;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Costs of leaving the own data centre for one new request, in addition to the costs that apply
 * without the overflow policy. A path that the policy does not permit gets a high cost rather than
 * none, so that a request never lacks a path that it would have without the policy.
 */
final class OverflowCosts {
  /** Cost of what the policy does not permit; above the cost of every path. */
  private static final double UNPERMITTED_MILLIS = 1e6;

  private final RelayTurn turn;
  private final OverflowShares.ServiceOverflow service;
  private final OverflowDecision decision;
  private final DataCentreId home;
  private final Optional<DataCentreId> destination;
  private final double targetGapMillis;
  private final double wholePathBytes;
  private final double crossingBytes;
  private final double costMillisPerGigabyte;

  private OverflowCosts(
      RelayTurn turn,
      EngineProfile engine,
      OpenRequest open,
      OverflowShares.ServiceOverflow service,
      OverflowDecision decision) {
    this.turn = turn;
    this.service = service;
    this.decision = decision;
    this.home = turn.state.parameters.dataCentre();
    this.destination =
        decision.totalShare() > 0 ? decision.destination(draw(turn, open)) : Optional.empty();
    this.targetGapMillis =
        open.route.targetGapMillis() > 0 ? open.route.targetGapMillis() : Double.POSITIVE_INFINITY;
    double tokens = open.request.expectedTokens(engine.meanAnswerTokens());
    int promptTokens = open.request.promptTokens();
    this.wholePathBytes = TransferBytes.ofWholePath(promptTokens, tokens - promptTokens);
    this.crossingBytes = TransferBytes.ofCrossing(engine, tokens);
    this.costMillisPerGigabyte = turn.state.parameters.scheduling().overflowCostMillisPerGigabyte();
  }

  /**
   * Returns the costs of a request; empty if the policy does not apply to it. A stream that has
   * begun is late already and takes any path.
   */
  static Optional<OverflowCosts> of(RelayTurn turn, EngineProfile engine, OpenRequest open) {
    if (open.headRelayed || !turn.state.scheduling(SchedulingPart.OVERFLOW, open.service)) {
      return Optional.empty();
    }
    return turn.state
        .overflow
        .ofService(open.service)
        .flatMap(
            service ->
                service
                    .currentDecision(turn.nowNanos)
                    .map(decision -> new OverflowCosts(turn, engine, open, service, decision)));
  }

  private static double draw(RelayTurn turn, OpenRequest open) {
    if (open.overflowDraw.isEmpty()) {
      open.overflowDraw = OptionalDouble.of(turn.state.random.nextDouble());
    }
    return open.overflowDraw.getAsDouble();
  }

  /** Returns the cost of a first endpoint in another data centre. */
  double startMillis(DataCentreId dataCentre) {
    return TransferBytes.costMillis(wholePathBytes, costMillisPerGigabyte)
        + (mayStartIn(dataCentre) ? 0 : UNPERMITTED_MILLIS);
  }

  /** Returns the cost of a hop between two data centres. */
  double hopMillis(DataCentreId from, DataCentreId to) {
    return TransferBytes.costMillis(crossingBytes, costMillisPerGigabyte)
        + (mayCross(from, to) ? 0 : UNPERMITTED_MILLIS);
  }

  /**
   * Returns the cost of a whole path. One that the policy permits but whose events would come too
   * slowly is no better than one that it does not permit.
   *
   * @param gapMillis expected time between two events on the path
   */
  double pathMillis(LayerPath path, double gapMillis) {
    return permits(path) && gapMillis <= targetGapMillis ? 0 : UNPERMITTED_MILLIS;
  }

  private boolean mayStartIn(DataCentreId dataCentre) {
    return dataCentre.equals(home) || destination.filter(dataCentre::equals).isPresent();
  }

  private boolean mayCross(DataCentreId from, DataCentreId to) {
    return decision.crossings().contains(from.equals(home) ? to : from)
        && (from.equals(home) || to.equals(home));
  }

  private boolean permits(LayerPath path) {
    Optional<DataCentreId> previous = Optional.empty();
    int crossings = 0;
    for (PathPart part : path.parts()) {
      DataCentreId current = dataCentre(part);
      if (previous.isEmpty() && !mayStartIn(current)) {
        return false;
      }
      if (previous.isPresent() && !previous.get().equals(current)) {
        crossings++;
        if (crossings > 1 || !mayCross(previous.get(), current)) {
          return false;
        }
      }
      previous = Optional.of(current);
    }
    return true;
  }

  /** Counts the bytes that a selected path sends between data centres. */
  void recordPath(LayerPath path) {
    DataCentreId previous = home;
    double bytes = 0;
    for (PathPart part : path.parts()) {
      DataCentreId current = dataCentre(part);
      if (!current.equals(previous)) {
        bytes += part.equals(path.first()) ? wholePathBytes : crossingBytes;
      }
      previous = current;
    }
    if (bytes > 0) {
      service.recordDeparture(bytes, turn.nowNanos);
    }
  }

  private DataCentreId dataCentre(PathPart part) {
    return turn.state
        .fleet
        .find(part.endpoint())
        .map(TrackedEndpoint::entry)
        .map(entry -> entry.dataCentre())
        .orElse(home);
  }
}
