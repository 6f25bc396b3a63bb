package io.zinniawood.report.slo;

import io.vavr.Tuple2;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;

/**
 * State of the budget of one indicator of an objective. A burn rate of 1 spends the budget exactly
 * within the budget window.
 *
 * @param indicator indicator
 * @param objectiveShare share that the objective asks for
 * @param window counts over the budget window
 * @param budgetLeft share of the budget that is left, negative if overspent, none without requests
 * @param burnLastHour burn rate over the last hour, none without requests
 * @param millisToExhaustion time until the budget is spent at the rate of the last hour, none if it
 *     does not shrink or is spent already
 * @param alerts alerts that are on
 * @param causes causes that spent most, with the number of requests
 */
public record Burn(
    Indicator indicator,
    double objectiveShare,
    Counts window,
    Option<Double> budgetLeft,
    Option<Double> burnLastHour,
    Option<Long> millisToExhaustion,
    Vector<BurnAlert> alerts,
    Vector<Tuple2<String, Long>> causes) {

  private static final int SHOWN_CAUSES = 5;
  private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);

  /** Computes the state of the budget at the given time. */
  public static Burn of(
      ObjectiveTarget target, Indicator indicator, ObjectiveCounts counts, long nowEpochMillis) {
    double share = indicator == Indicator.ANSWERED ? target.answeredShare() : target.latencyShare();
    long windowMillis = TimeUnit.DAYS.toMillis(target.windowDays());
    Counts window = counts.window(nowEpochMillis, windowMillis);
    Option<Double> left = window.badShare(indicator).map(bad -> 1 - bad / (1 - share));
    Option<Double> lastHour = rate(counts, indicator, share, nowEpochMillis, HOUR_MILLIS);
    Option<Long> exhaustion =
        left.filter(rest -> rest > 0)
            .flatMap(
                rest ->
                    lastHour
                        .filter(rate -> rate > 0)
                        .map(rate -> (long) (rest * windowMillis / rate)));
    Vector<BurnAlert> alerts =
        Vector.of(BurnAlert.values())
            .filter(alert -> isOn(alert, counts, indicator, share, nowEpochMillis));
    return new Burn(
        indicator,
        share,
        window,
        left,
        lastHour,
        exhaustion,
        alerts,
        window.causes(indicator).toVector().sortBy(entry -> -entry._2()).take(SHOWN_CAUSES));
  }

  /** Returns the burn rate over a window that ends now, none without requests. */
  public static Option<Double> rate(
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

  private static boolean isOn(
      BurnAlert alert,
      ObjectiveCounts counts,
      Indicator indicator,
      double share,
      long nowEpochMillis) {
    Option<Double> longRate =
        rate(counts, indicator, share, nowEpochMillis, alert.longWindowMillis());
    Option<Double> shortRate =
        rate(counts, indicator, share, nowEpochMillis, alert.shortWindowMillis());
    return longRate.exists(rate -> rate >= alert.threshold())
        && shortRate.exists(rate -> rate >= alert.threshold());
  }
}
