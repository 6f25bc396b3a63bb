package io.zinniawood.report.slo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ErrorBudgetStatusTest {
  private static final long NOW = TimeUnit.DAYS.toMillis(20_000) + TimeUnit.HOURS.toMillis(12) - 1;
  private static final ObjectiveTarget TARGET =
      new ObjectiveTarget("kiosk", "chat", 0.99, Option.none(), Option.none(), 0.95, 0, 28);
  private static final Observation GOOD =
      new Observation(Observation.Answer.ANSWERED, Observation.Latency.NOT_MEASURED, Option.none());
  private static final Observation BAD =
      new Observation(
          Observation.Answer.NOT_ANSWERED,
          Observation.Latency.NOT_MEASURED,
          Option.of("no capacity"));

  // Guards against an alert that is raised hours late while a fifth of the requests fail, and
  // against one that stays active after the failures have ended.
  @Test
  void fastAlertNeedsBothWindows() {
    ObjectiveCounts failing = requestsUntilNow(60, 20);
    assertThat(
        budgetStatus(failing).activeAlerts(),
        contains(BurnAlert.FAST, BurnAlert.SLOW, BurnAlert.STEADY));
    ObjectiveCounts recovered = ObjectiveCounts.empty("kiosk");
    recovered = addRequests(recovered, 60, 6, 20);
    recovered = addRequests(recovered, 6, 0, 0);
    assertThat(
        "the fast alert ends within 5 min of the cause",
        budgetStatus(recovered).activeAlerts().contains(BurnAlert.FAST),
        is(false));
  }

  // Guards against an alert at a burn rate within the budget.
  @Test
  void sustainableRateRaisesNoAlert() {
    assertThat(budgetStatus(requestsUntilNow(360, 0)).activeAlerts(), is(Vector.empty()));
    ErrorBudgetStatus withoutRequests = budgetStatus(ObjectiveCounts.empty("kiosk"));
    assertThat(withoutRequests.activeAlerts(), is(Vector.empty()));
    assertThat(
        "the remaining budget is unknown without requests",
        withoutRequests.remainingBudget(),
        is(Option.none()));
  }

  // Guards against a wrong time to exhaustion, by which operators schedule their response.
  @Test
  void exhaustionFollowsFromTheRateOfTheLastHour() {
    ObjectiveCounts counts = ObjectiveCounts.empty("kiosk");
    for (int i = 0; i < 9_900; i++) {
      counts = counts.with(NOW - TimeUnit.DAYS.toMillis(2), GOOD);
    }
    for (int i = 0; i < 100; i++) {
      counts = counts.with(NOW, i < 2 ? BAD : GOOD);
    }
    ErrorBudgetStatus status = budgetStatus(counts);
    // 2 of 10,000 requests failed and 100 may fail, so 98 % of the budget is left. In the last hour
    // 2 % failed with 1 % allowed, which is a burn rate of 2.
    assertThat(status.remainingBudget().get(), closeTo(0.98, 1e-9));
    assertThat(status.lastHourBurnRate().get(), closeTo(2, 1e-9));
    assertThat(
        status.millisToExhaustion().get() / 1e3,
        closeTo(0.98 * TimeUnit.DAYS.toSeconds(28) / 2, 1));
    assertThat(status.topCauses().head()._1(), is("no capacity"));
  }

  private static ErrorBudgetStatus budgetStatus(ObjectiveCounts counts) {
    return ErrorBudgetStatus.of(TARGET, Indicator.ANSWERED, counts, NOW);
  }

  private static ObjectiveCounts requestsUntilNow(int minutes, int badPercent) {
    return addRequests(ObjectiveCounts.empty("kiosk"), minutes, 0, badPercent);
  }

  /** Adds 50 requests for each minute between the two ages, the older one excluded. */
  private static ObjectiveCounts addRequests(
      ObjectiveCounts counts, int fromAgeMinutes, int toAgeMinutes, int badPercent) {
    ObjectiveCounts result = counts;
    for (int minute = toAgeMinutes; minute < fromAgeMinutes; minute++) {
      for (int i = 0; i < 50; i++) {
        long atMillis = NOW - TimeUnit.MINUTES.toMillis(minute);
        result = result.with(atMillis, i * 2 < badPercent ? BAD : GOOD);
      }
    }
    return result;
  }
}
