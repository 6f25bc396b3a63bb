package io.zinniawood.report.slo;

import io.vavr.Tuple2;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * State of the error budget of one indicator of an objective. A burn rate of 1 spends exactly the
 * whole budget within the budget window.
 *
 * @param indicator indicator that the budget belongs to
 * @param objectiveShare required share of good requests, from 0 to below 1
 * @param windowCounts counts over the budget window
 * @param remainingBudget share of the budget that is left, negative if overspent, none if there
 *     were no requests
 * @param lastHourBurnRate burn rate over the last hour, none if there were no requests
 * @param millisToExhaustion time until the budget is spent at the rate of the last hour, none if
 *     that rate is 0 or unknown, or if the budget is already spent
 * @param activeAlerts alerts whose threshold is reached in both windows
 * @param topCauses causes of the most bad requests with their numbers, in descending order
 */
public record ErrorBudgetStatus(
    Indicator indicator,
    double objectiveShare,
    RequestCounts windowCounts,
    Option<Double> remainingBudget,
    Option<Double> lastHourBurnRate,
    Option<Long> millisToExhaustion,
    Vector<BurnAlert> activeAlerts,
    Vector<Tuple2<String, Long>> topCauses) {

  private static final int MAX_TOP_CAUSES = 5;
  private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);

  /** Computes the state of the error budget at the given time. */
  public static ErrorBudgetStatus of(
      ObjectiveTarget target, Indicator indicator, ObjectiveCounts counts, long nowEpochMillis) {
    double share = indicator == Indicator.ANSWERED ? target.answeredShare() : target.latencyShare();
    long windowMillis = TimeUnit.DAYS.toMillis(target.windowDays());
    RequestCounts window = counts.window(nowEpochMillis, windowMillis);
    Option<Double> remaining = window.badShare(indicator).map(bad -> 1 - bad / (1 - share));
    Option<Double> lastHour = burnRate(counts, indicator, share, nowEpochMillis, HOUR_MILLIS);
    Option<Long> exhaustion =
        remaining
            .filter(rest -> rest > 0)
            .flatMap(
                rest ->
                    lastHour
                        .filter(rate -> rate > 0)
                        .map(rate -> (long) (rest * windowMillis / rate)));
    Vector<BurnAlert> alerts =
        Vector.of(BurnAlert.values())
            .filter(alert -> isActive(alert, counts, indicator, share, nowEpochMillis));
    return new ErrorBudgetStatus(
        indicator,
        share,
        window,
        remaining,
        lastHour,
        exhaustion,
        alerts,
        window.causes(indicator).toVector().sortBy(entry -> -entry._2()).take(MAX_TOP_CAUSES));
  }

  /** Returns the burn rate over a window that ends now, none if it has no requests. */
  public static Option<Double> burnRate(
      ObjectiveCounts counts,
      Indicator indicator,
      double objectiveShare,
      long nowEpochMillis,
      long windowMillis) {
    return counts
        .window(nowEpochMillis, windowMillis)
        .badShare(indicator)
        .map(bad -> bad / (1 - objectiveShare));
  }

  private static boolean isActive(
      BurnAlert alert,
      ObjectiveCounts counts,
      Indicator indicator,
      double share,
      long nowEpochMillis) {
    Option<Double> longRate =
        burnRate(counts, indicator, share, nowEpochMillis, alert.longWindowMillis());
    Option<Double> shortRate =
        burnRate(counts, indicator, share, nowEpochMillis, alert.shortWindowMillis());
    return longRate.exists(rate -> rate >= alert.threshold())
        && shortRate.exists(rate -> rate >= alert.threshold());
  }
}
