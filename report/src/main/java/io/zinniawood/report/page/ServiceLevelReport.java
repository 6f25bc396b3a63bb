package io.zinniawood.report.page;

import io.vavr.collection.SortedMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;
import io.zinniawood.report.slo.BurnAlert;
import io.zinniawood.report.slo.ErrorBudgetStatus;
import io.zinniawood.report.slo.Indicator;
import io.zinniawood.report.slo.ObjectiveCounts;
import io.zinniawood.report.slo.ObjectiveTarget;
import io.zinniawood.report.slo.RequestCounts;
import java.util.concurrent.TimeUnit;

/** Report on service-level objectives, their error budgets and burn rates. */
public final class ServiceLevelReport {
  /** Counts are written every 30 s; a change of the writer can delay them by two more rounds. */
  public static final long STALE_AFTER_MILLIS = TimeUnit.MINUTES.toMillis(3);

  private static final long DAY_MILLIS = TimeUnit.DAYS.toMillis(1);

  private ServiceLevelReport() {}

  /**
   * Input of the report.
   *
   * @param nowEpochMillis creation time of the report in milliseconds since 1970
   * @param writer name of the process that creates the report
   * @param targets objectives in the order of display
   * @param counts counts by name of the objective, summed over the data centres
   * @param dataCentres freshness of the figures of each data centre
   */
  public record Figures(
      long nowEpochMillis,
      String writer,
      Vector<ObjectiveTarget> targets,
      SortedMap<String, ObjectiveCounts> counts,
      Vector<DataCentreFreshness> dataCentres) {}

  /** Builds the report from the figures. */
  public static Report of(Figures figures) {
    Vector<Section> sections =
        Vector.of(dataCoverage(figures))
            .appendAll(figures.targets().map(target -> objectiveSection(figures, target)));
    return new Report("Service levels", figures.nowEpochMillis(), figures.writer(), sections);
  }

  private static Section dataCoverage(Figures figures) {
    Vector<Block> lines =
        figures
            .dataCentres()
            .flatMap(
                dataCentre ->
                    dataCentre.missingDataLine(figures.nowEpochMillis(), STALE_AFTER_MILLIS));
    String allRecent =
        "The figures of %s are less than %s old."
            .formatted(
                figures.dataCentres().size() == 1
                    ? "the only data centre"
                    : "all " + DisplayFormat.count(figures.dataCentres().size(), "data centre"),
                DisplayFormat.duration(STALE_AFTER_MILLIS));
    if (figures.dataCentres().isEmpty()) {
      return Section.of(
          "What this report knows",
          new Block.Line(Tone.UNKNOWN, "No figures of any data centre have arrived."));
    }
    return new Section(
        "What this report knows",
        lines.isEmpty() ? Vector.of(new Block.Line(Tone.GOOD, allRecent)) : lines);
  }

  private static Section objectiveSection(Figures figures, ObjectiveTarget target) {
    ObjectiveCounts counts =
        figures.counts().getOrElse(target.name(), ObjectiveCounts.empty(target.name()));
    Section section = Section.of("%s (%s)".formatted(target.name(), target.modelOrService()));
    ErrorBudgetStatus answered =
        ErrorBudgetStatus.of(target, Indicator.ANSWERED, counts, figures.nowEpochMillis());
    section = withIndicator(section, target, answered, "answered");
    if (target.limitsLatency()) {
      ErrorBudgetStatus latency =
          ErrorBudgetStatus.of(target, Indicator.LATENCY, counts, figures.nowEpochMillis());
      section = withIndicator(section, target, latency, "in time (" + latencyLimits(target) + ")");
    }
    return section
        .with(unknownOutcomes(target, counts, figures.nowEpochMillis()))
        .with(burnRatePlot(target, counts, figures.nowEpochMillis()));
  }

  private static Section withIndicator(
      Section section, ObjectiveTarget target, ErrorBudgetStatus status, String verb) {
    RequestCounts window = status.windowCounts();
    if (status.remainingBudget().isEmpty()) {
      return section.with(
          new Block.Line(
              Tone.UNKNOWN,
              "No request was counted in %s, so nothing is known about requests %s."
                  .formatted(DisplayFormat.count(target.windowDays(), "day"), verb)));
    }
    long total = window.total(status.indicator());
    long good = total - window.bad(status.indicator());
    String share =
        "%s of %s in %s were %s; the objective is %s."
            .formatted(
                DisplayFormat.percent((double) good / total),
                DisplayFormat.count(total, "request"),
                DisplayFormat.count(target.windowDays(), "day"),
                verb,
                DisplayFormat.percent(status.objectiveShare()));
    Section described = section.with(new Block.Line(Tone.PLAIN, share)).with(budgetLine(status));
    for (BurnAlert alert : status.activeAlerts()) {
      described = described.with(alertLine(alert, status));
    }
    return status.topCauses().isEmpty() ? described : described.with(causeTable(status));
  }

  private static Block budgetLine(ErrorBudgetStatus status) {
    double left = status.remainingBudget().get();
    if (left <= 0) {
      return new Block.Line(
          Tone.BAD,
          "The error budget is spent: %s of it was used."
              .formatted(DisplayFormat.percent(1 - left)));
    }
    String remaining = "%s of the error budget is left. ".formatted(DisplayFormat.percent(left));
    if (status.lastHourBurnRate().isEmpty()) {
      return new Block.Line(Tone.PLAIN, remaining + "No request came in the last hour.");
    }
    String forecast =
        status
            .millisToExhaustion()
            .map(
                millis ->
                    "At the rate of the last hour (%s times the sustainable rate) it lasts %s."
                        .formatted(
                            DisplayFormat.decimal(status.lastHourBurnRate().get()),
                            DisplayFormat.duration(millis)))
            .getOrElse("Nothing was spent in the last hour.");
    boolean unsustainable = status.lastHourBurnRate().exists(rate -> rate > 1);
    return new Block.Line(unsustainable ? Tone.WARNING : Tone.GOOD, remaining + forecast);
  }

  private static Block alertLine(BurnAlert alert, ErrorBudgetStatus status) {
    String description =
        "The budget for requests %s is spent at %s times the sustainable rate or more, over %s and"
            + " over the last %s. ";
    String action =
        alert.urgency() == BurnAlert.Urgency.NOW
            ? "Look at the incidents now; the causes below tell where to start."
            : "Plan time this week to remove the largest cause below.";
    return new Block.Line(
        alert.urgency() == BurnAlert.Urgency.NOW ? Tone.BAD : Tone.WARNING,
        description.formatted(
                status.indicator() == Indicator.ANSWERED ? "without an answer" : "that are late",
                DisplayFormat.decimal(alert.threshold()),
                DisplayFormat.duration(alert.longWindowMillis()),
                DisplayFormat.duration(alert.shortWindowMillis()))
            + action);
  }

  private static Block causeTable(ErrorBudgetStatus status) {
    long bad = status.windowCounts().bad(status.indicator());
    return new Block.Table(
        Vector.of(
            Block.Column.text("What spent the budget"),
            Block.Column.number("requests"),
            Block.Column.number("share")),
        status
            .topCauses()
            .map(
                cause ->
                    Vector.of(
                        cause._1(),
                        DisplayFormat.wholeNumber(cause._2()),
                        DisplayFormat.percent((double) cause._2() / Math.max(1, bad)))));
  }

  private static Block unknownOutcomes(
      ObjectiveTarget target, ObjectiveCounts counts, long nowEpochMillis) {
    long unknown = counts.window(nowEpochMillis, DAY_MILLIS).unknown();
    if (unknown == 0) {
      return new Block.Line(
          Tone.GOOD, "In the last 24 hours, no request ended with an unknown outcome.");
    }
    boolean over = unknown > target.maxUnknownPerDay();
    return new Block.Line(
        over ? Tone.BAD : Tone.WARNING,
        ("In the last 24 hours, %s ended with an unknown outcome; %d a day are accepted. The"
                + " system cannot tell whether these ran. %s")
            .formatted(
                DisplayFormat.count(unknown, "request"),
                target.maxUnknownPerDay(),
                "Compare the incidents with the records of the service."));
  }

  private static Block burnRatePlot(
      ObjectiveTarget target, ObjectiveCounts counts, long nowEpochMillis) {
    long lastHour = TimeUnit.MILLISECONDS.toHours(nowEpochMillis);
    Vector<Block.Series> series =
        Vector.of(Indicator.ANSWERED, Indicator.LATENCY)
            .filter(indicator -> indicator == Indicator.ANSWERED || target.limitsLatency())
            .map(indicator -> series(target, indicator, counts, lastHour));
    return new Block.Plot(
        "Burn rate by hour over 3 days",
        "times the sustainable rate",
        series.filter(line -> !line.points().isEmpty()),
        Vector.of(new Block.Limit("sustainable", 1)));
  }

  private static Block.Series series(
      ObjectiveTarget target, Indicator indicator, ObjectiveCounts counts, long lastHour) {
    double share = indicator == Indicator.ANSWERED ? target.answeredShare() : target.latencyShare();
    Vector<Block.Point> points =
        counts
            .hours()
            .toVector()
            .filter(entry -> entry._1() > lastHour - 72 && entry._1() <= lastHour)
            .flatMap(entry -> point(entry._1(), entry._2().badShare(indicator), share));
    return new Block.Series(indicator == Indicator.ANSWERED ? "without an answer" : "late", points);
  }

  private static Option<Block.Point> point(long hour, Option<Double> badShare, double share) {
    return badShare.map(bad -> new Block.Point(TimeUnit.HOURS.toMillis(hour), bad / (1 - share)));
  }

  private static String latencyLimits(ObjectiveTarget target) {
    Vector<String> times =
        target
            .maxFirstTokenMillis()
            .map(millis -> "first token within %d ms".formatted(millis))
            .toVector()
            .appendAll(
                target
                    .maxTokenGapMillis()
                    .map(millis -> "%d ms between tokens".formatted(millis))
                    .toVector());
    return times.mkString(", ");
  }
}
