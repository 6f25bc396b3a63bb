package io.zinniawood.entry.reporting;

import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.entry.EntryOverview;
import io.zinniawood.entry.acceptance.AcceptanceJournal;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;
import io.zinniawood.report.page.AccountsReport;
import io.zinniawood.report.page.ConfigurationReport;
import io.zinniawood.report.page.FleetReport;
import io.zinniawood.report.page.IncidentsReport;
import io.zinniawood.report.page.ServiceLevelReport;

/** Builds the reports from what the entry collected. Confined to one thread. */
final class ReportPages {
  static final String FLEET = "fleet";
  static final String INCIDENTS = "incidents";
  static final String CONFIGURATION = "configuration";
  static final String ACCOUNTS = "accounts";
  static final String BURN = "burn";
  static final Vector<String> NAMES = Vector.of(FLEET, INCIDENTS, CONFIGURATION, ACCOUNTS, BURN);

  private final String writer;
  private final String dataCentre;
  private final long sinceEpochMillis;
  private final Collected collected;

  /**
   * What the entry collected.
   *
   * @param journal acceptance of configurations
   * @param peers generations of other processes
   * @param incidents incidents of this entry
   * @param accounts requests of this entry by client account
   * @param sender counts of this entry
   * @param reader counts of all data centres
   */
  record Collected(
      AcceptanceJournal journal,
      PeerGenerations peers,
      IncidentLog incidents,
      AccountLog accounts,
      CountsSender sender,
      CountsReader reader) {}

  /**
   * State of the entry at one moment.
   *
   * @param nowEpochMillis time in milliseconds since 1970
   * @param configuration configuration in force
   * @param overview state of the entry's decisions, none if it was not available in time
   * @param controller holder of the controller lease, none if it is not known
   */
  record Moment(
      long nowEpochMillis,
      Option<AcceptedConfiguration> configuration,
      Option<EntryOverview> overview,
      Option<String> controller) {}

  ReportPages(String writer, String dataCentre, long sinceEpochMillis, Collected collected) {
    this.writer = writer;
    this.dataCentre = dataCentre;
    this.sinceEpochMillis = sinceEpochMillis;
    this.collected = collected;
  }

  /** Returns the report of a name, none if there is none. */
  Option<Report> report(String name, Moment moment) {
    return switch (name) {
      case FLEET -> Option.some(fleet(moment));
      case INCIDENTS ->
          Option.some(
              scoped(
                  IncidentsReport.of(
                      collected.incidents().figures(writer, moment.nowEpochMillis())),
                  "These are the incidents that entry %s saw. Each entry has a page of its own."));
      case CONFIGURATION -> Option.some(configuration());
      case ACCOUNTS ->
          Option.some(
              scoped(
                  AccountsReport.of(
                      collected
                          .accounts()
                          .figures(
                              writer,
                              moment.nowEpochMillis(),
                              moment.configuration(),
                              moment.overview())),
                  "These are the requests that entry %s got. Each entry counts its own."));
      case BURN -> Option.some(burn(moment));
      default -> Option.none();
    };
  }

  private Report scoped(Report report, String sentence) {
    return with(report, new Block.Line(Tone.PLAIN, sentence.formatted(writer)));
  }

  private static Report with(Report report, Block... blocks) {
    return new Report(
        report.title(),
        report.writtenEpochMillis(),
        report.writer(),
        report.sections().append(Section.of("What this report covers", blocks)));
  }

  private Report fleet(Moment moment) {
    if (moment.overview().isEmpty()) {
      return new Report(
          "Fleet now",
          moment.nowEpochMillis(),
          writer,
          Vector.of(
              Section.of(
                  "Summary",
                  new Block.Line(
                      Tone.UNKNOWN, "Entry %s does not tell its state.".formatted(writer)))));
    }
    return scoped(
        FleetReport.of(
            FleetFigures.of(
                moment.overview().get(),
                moment.configuration().map(AcceptedConfiguration::cluster),
                writer,
                moment.nowEpochMillis(),
                moment.controller(),
                endpoint -> collected.incidents().lostAt(endpoint).getOrElse(sinceEpochMillis))),
        "This is the fleet as entry %s sees it; its work and limits are those of this entry.");
  }

  private Report configuration() {
    return scoped(
        ConfigurationReport.of(collected.journal().figures(writer, collected.peers().nodes())),
        "Entry %s shows a rejected edit only if it reads the folder. The page"
            + " reports/configuration.html in the object store always shows it.");
  }

  private Report burn(Moment moment) {
    TreeSet<String> expected =
        moment
            .overview()
            .map(EntryOverview::endpoints)
            .getOrElse(Vector.empty())
            .foldLeft(
                TreeSet.of(dataCentre), (names, found) -> names.add(found.dataCentre().value()));
    Report report =
        ServiceLevelReport.of(
            new ServiceLevelReport.Figures(
                moment.nowEpochMillis(),
                writer,
                moment
                    .configuration()
                    .map(found -> found.cluster().objectives().map(Judgement::target))
                    .getOrElse(Vector.empty()),
                collected.reader().total(),
                collected.reader().dataCentres(expected)));
    return knownOnlyPartly(report);
  }

  private Report knownOnlyPartly(Report report) {
    Vector<Block> lines = collected.reader().trouble().map(ReportPages::storeTrouble).toVector();
    if (collected.sender().dropped() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.UNKNOWN,
                  "Entry %s dropped the counts of %s because the object store was away too long."
                      .formatted(
                          writer, DisplayFormat.count(collected.sender().dropped(), "interval"))));
    }
    return lines.isEmpty()
        ? report
        : new Report(
            report.title(),
            report.writtenEpochMillis(),
            report.writer(),
            report.sections().prepend(new Section("What is missing", lines)));
  }

  private static Block storeTrouble(String detail) {
    return new Block.Line(
        Tone.UNKNOWN,
        ("The object store does not answer (%s). The figures are those of the last reading;"
                + " counts since then wait in the memory of the entries.")
            .formatted(detail));
  }
}
