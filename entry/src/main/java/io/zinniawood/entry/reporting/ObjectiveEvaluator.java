package io.zinniawood.entry.reporting;

import io.vavr.control.Option;
import io.zinniawood.core.configuration.Objective;
import io.zinniawood.core.entry.RequestResult;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;
import io.zinniawood.report.slo.ObjectiveTarget;
import io.zinniawood.report.slo.Observation;
import java.util.concurrent.TimeUnit;

/** Judges the result of a request by an objective. */
final class ObjectiveEvaluator {
  private static final int FIRST_SERVER_ERROR = 500;

  private ObjectiveEvaluator() {}

  /**
   * Returns the observation, none if the objective does not judge the request. Requests that were
   * refused for a reason of the caller, its limits included, do not spend the error budget.
   */
  static Option<Observation> evaluate(RequestResult result, Objective objective) {
    boolean unknown = result.outcome() == Outcome.UNKNOWN;
    boolean callersFault =
        !unknown && result.problem().exists(type -> type.httpStatus() < FIRST_SERVER_ERROR);
    if (!objective.target().equals(result.target()) || callersFault) {
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
    boolean limited =
        objective.firstTokenMillis().isDefined() || objective.tokenGapMillis().isDefined();
    boolean slowStart = exceeds(result.firstTokenNanos(), objective.firstTokenMillis());
    boolean slowGap = exceeds(result.slowestGapNanos(), objective.tokenGapMillis());
    Observation.Latency latency =
        slowStart || slowGap ? Observation.Latency.LATE : Observation.Latency.IN_TIME;
    Option<String> cause =
        slowStart
            ? Option.some("first token late")
            : Option.when(slowGap, "long time between tokens");
    return new Observation(
        Observation.Answer.ANSWERED, limited ? latency : Observation.Latency.NOT_MEASURED, cause);
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
