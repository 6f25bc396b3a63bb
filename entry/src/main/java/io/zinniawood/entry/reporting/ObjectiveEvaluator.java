package io.zinniawood.entry.reporting;

import io.vavr.control.Option;
import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.report.slo.ObjectiveTarget;
import io.zinniawood.report.slo.Observation;
import java.util.concurrent.TimeUnit;

/** Evaluates the result of a request against a service-level objective. */
final class ObjectiveEvaluator {
  private static final int FIRST_SERVER_ERROR = 500;

  private ObjectiveEvaluator() {}

  /**
   * Returns the observation, none if the objective does not apply to the request. Requests that
   * were refused because of the caller, including its limits, do not count against the error
   * budget.
   */
  static Option<Observation> evaluate(RequestResult result, Objective objective) {
    boolean unknown = result.outcome() == Outcome.UNKNOWN;
    boolean callerError =
        !unknown && result.problem().exists(type -> type.httpStatus() < FIRST_SERVER_ERROR);
    if (!objective.target().equals(result.target()) || callerError) {
      return Option.none();
    }
    if (unknown || result.problem().isDefined()) {
      return Option.some(
          new Observation(
              unknown ? Observation.Answer.OUTCOME_UNKNOWN : Observation.Answer.NOT_ANSWERED,
              Observation.Latency.NOT_MEASURED,
              result.problem().map(ProblemType::slug)));
    }
    return Option.some(evaluateAnswered(result, objective));
  }

  private static Observation evaluateAnswered(RequestResult result, Objective objective) {
    boolean hasLatencyLimit =
        objective.firstTokenMillis().isDefined() || objective.tokenGapMillis().isDefined();
    boolean firstTokenLate = exceeds(result.firstTokenNanos(), objective.firstTokenMillis());
    boolean tokenGapLate = exceeds(result.slowestGapNanos(), objective.tokenGapMillis());
    Observation.Latency latency =
        firstTokenLate || tokenGapLate ? Observation.Latency.LATE : Observation.Latency.IN_TIME;
    Option<String> cause =
        firstTokenLate
            ? Option.some("first token late")
            : Option.when(tokenGapLate, "long time between tokens");
    return new Observation(
        Observation.Answer.ANSWERED,
        hasLatencyLimit ? latency : Observation.Latency.NOT_MEASURED,
        cause);
  }

  private static boolean exceeds(Option<Long> nanos, Option<Long> limitMillis) {
    return limitMillis.exists(
        limit -> nanos.exists(found -> found > TimeUnit.MILLISECONDS.toNanos(limit)));
  }

  static ObjectiveTarget toReportTarget(Objective objective) {
    return new ObjectiveTarget(
        objective.name(),
        objective.target(),
        objective.answeredShare(),
        objective.firstTokenMillis(),
        objective.tokenGapMillis(),
        objective.latencyShare(),
        objective.maxUnknownPerDay(),
        objective.windowDays());
  }
}
