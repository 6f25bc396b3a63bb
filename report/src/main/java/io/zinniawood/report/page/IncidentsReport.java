package io.zinniawood.report.page;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;

/** Report on incidents, with the effects listed below their cause. */
public final class IncidentsReport {
  private static final int MAX_SHOWN_CAUSES = 40;
  private static final int MAX_SHOWN_EFFECTS = 12;
  private static final int MAX_EFFECT_DEPTH = 6;

  private IncidentsReport() {}

  /**
   * One incident.
   *
   * @param id id, unique in the report
   * @param cause id of the incident that caused it, none if it has no known cause
   * @param atEpochMillis time of the incident in milliseconds since 1970
   * @param tone importance for the reader
   * @param description what happened, what was affected and how the system reacted, in full
   *     sentences
   * @param advice recommended action, none if nothing needs to be done
   */
  public record ReportedIncident(
      String id,
      Option<String> cause,
      long atEpochMillis,
      Tone tone,
      String description,
      Option<String> advice) {}

  /**
   * Input of the report.
   *
   * @param nowEpochMillis creation time of the report in milliseconds since 1970
   * @param writer name of the process that creates the report
   * @param sinceEpochMillis start of the recorded period in milliseconds since 1970
   * @param incidents incidents in any order
   * @param dropped number of older incidents that were discarded to limit the memory
   * @param dataCentres freshness of the figures of each data centre
   */
  public record Figures(
      long nowEpochMillis,
      String writer,
      long sinceEpochMillis,
      Vector<ReportedIncident> incidents,
      long dropped,
      Vector<DataCentreFreshness> dataCentres) {}

  /** Builds the report from the figures. */
  public static Report of(Figures figures) {
    Vector<Block> missingData =
        figures
            .dataCentres()
            .flatMap(
                dataCentre ->
                    dataCentre.missingDataLine(
                        figures.nowEpochMillis(), ServiceLevelReport.STALE_AFTER_MILLIS));
    Section summary = new Section("Summary", missingData.prependAll(summary(figures)));
    Vector<Section> sections =
        figures.incidents().isEmpty()
            ? Vector.of(summary)
            : Vector.of(
                summary, Section.of("Newest first, effects below their cause", outline(figures)));
    return new Report("Incidents", figures.nowEpochMillis(), figures.writer(), sections);
  }

  private static Vector<Block> summary(Figures figures) {
    String since = DisplayFormat.timeToMinute(figures.sinceEpochMillis());
    Vector<Block> lines =
        Vector.of(
            figures.incidents().isEmpty()
                ? new Block.Line(Tone.GOOD, "No incident since %s.".formatted(since))
                : new Block.Line(
                    Tone.PLAIN,
                    "%s since %s, from %s."
                        .formatted(
                            DisplayFormat.count(figures.incidents().size(), "incident"),
                            since,
                            DisplayFormat.count(roots(figures).size(), "cause"))));
    if (figures.dropped() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.UNKNOWN,
                  "%s older than that are no longer kept."
                      .formatted(DisplayFormat.count(figures.dropped(), "incident"))));
    }
    return lines;
  }

  private static Block outline(Figures figures) {
    Vector<ReportedIncident> roots = roots(figures);
    Vector<Block.Item> items = roots.take(MAX_SHOWN_CAUSES).flatMap(root -> tree(figures, root, 0));
    int hidden = roots.size() - MAX_SHOWN_CAUSES;
    return new Block.Outline(
        hidden > 0
            ? items.append(
                new Block.Item(
                    0,
                    Tone.PLAIN,
                    "%s older than these are not shown."
                        .formatted(DisplayFormat.count(hidden, "cause"))))
            : items);
  }

  /** Returns the incidents whose cause is unknown or not in the report, newest first. */
  private static Vector<ReportedIncident> roots(Figures figures) {
    io.vavr.collection.Set<String> known = figures.incidents().map(ReportedIncident::id).toSet();
    return figures
        .incidents()
        .filter(incident -> !incident.cause().exists(cause -> known.contains(cause)))
        .sortBy(incident -> -incident.atEpochMillis());
  }

  private static Vector<Block.Item> tree(Figures figures, ReportedIncident incident, int depth) {
    String text =
        DisplayFormat.timeToSecond(incident.atEpochMillis())
            + ": "
            + incident.description()
            + incident.advice().map(advice -> " " + advice).getOrElse("");
    Vector<Block.Item> items = Vector.of(new Block.Item(depth, incident.tone(), text));
    if (depth >= MAX_EFFECT_DEPTH) {
      return items;
    }
    Vector<ReportedIncident> effects =
        figures
            .incidents()
            .filter(effect -> effect.cause().contains(incident.id()))
            .sortBy(ReportedIncident::atEpochMillis);
    items =
        items.appendAll(
            effects.take(MAX_SHOWN_EFFECTS).flatMap(effect -> tree(figures, effect, depth + 1)));
    int hidden = effects.size() - MAX_SHOWN_EFFECTS;
    return hidden > 0
        ? items.append(
            new Block.Item(
                depth + 1, Tone.PLAIN, "%s more.".formatted(DisplayFormat.count(hidden, "effect"))))
        : items;
  }
}
