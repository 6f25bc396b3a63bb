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

/** Builds the reports from the collected data of the entry. Confined to one thread. */
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
  private final CollectedData collected;

  /**
   * Data that the entry collected.
   *
   * @param journal accepted and rejected configurations
   * @param peers configuration generations of other processes
   * @param incidents incidents of this entry
   * @param accountCounts request counts of this entry by client account
   * @param countsSender service-level counts of this entry
   * @param countsReader service-level counts of all data centres
   */
  record CollectedData(
      AcceptanceJournal journal,
      PeerGenerations peers,
      IncidentLog incidents,
      AccountRequestCounts accountCounts,
      CountsSender countsSender,
      CountsReader countsReader) {}

  /**
   * State of the entry at one point in time.
   *
   * @param nowEpochMillis time of the snapshot in milliseconds since 1970
   * @param configuration configuration in force, none before the first one
   * @param overview state of the event loop, none if it did not answer in time
   * @param controller holder of the controller lease, none if it is not known
   */
  record EntrySnapshot(
      long nowEpochMillis,
      Option<AcceptedConfiguration> configuration,
      Option<EntryOverview> overview,
      Option<String> controller) {}

  ReportPages(String writer, String dataCentre, long sinceEpochMillis, CollectedData collected) {
    this.writer = writer;
    this.dataCentre = dataCentre;
    this.sinceEpochMillis = sinceEpochMillis;
    this.collected = collected;
  }

  /** Returns the report with the given name, none if the name is unknown. */
  Option<Report> report(String name, EntrySnapshot snapshot) {
    return switch (name) {
      case FLEET -> Option.some(fleet(snapshot));
      case INCIDENTS ->
          Option.some(
              withScopeNote(
                  IncidentsReport.of(
                      collected.incidents().figures(writer, snapshot.nowEpochMillis())),
                  "These are the incidents that entry %s saw. Each entry has a page of its own."));
      case CONFIGURATION -> Option.some(configuration());
      case ACCOUNTS ->
          Option.some(
              withScopeNote(
                  AccountsReport.of(
                      collected
                          .accountCounts()
                          .figures(
                              writer,
                              snapshot.nowEpochMillis(),
                              snapshot.configuration(),
                              snapshot.overview())),
                  "These are the requests that entry %s got. Each entry counts its own."));
      case BURN -> Option.some(burn(snapshot));
      default -> Option.none();
    };
  }

  private Report withScopeNote(Report report, String sentence) {
    return appendScopeSection(report, new Block.Line(Tone.PLAIN, sentence.formatted(writer)));
  }

  private static Report appendScopeSection(Report report, Block... blocks) {
    return new Report(
        report.title(),
        report.writtenEpochMillis(),
        report.writer(),
        report.sections().append(Section.of("What this report covers", blocks)));
  }

  private Report fleet(EntrySnapshot snapshot) {
    if (snapshot.overview().isEmpty()) {
      return new Report(
          "Fleet now",
          snapshot.nowEpochMillis(),
          writer,
          Vector.of(
              Section.of(
                  "Summary",
                  new Block.Line(
                      Tone.UNKNOWN, "Entry %s does not tell its state.".formatted(writer)))));
    }
    return withScopeNote(
        FleetReport.of(
            FleetFigures.of(
                snapshot.overview().get(),
                snapshot.configuration().map(AcceptedConfiguration::cluster),
                writer,
                snapshot.nowEpochMillis(),
                snapshot.controller(),
                endpoint -> collected.incidents().lostAt(endpoint).getOrElse(sinceEpochMillis))),
        "This is the fleet as entry %s sees it; its work and limits are those of this entry.");
  }

  private Report configuration() {
    return withScopeNote(
        ConfigurationReport.of(collected.journal().figures(writer, collected.peers().nodes())),
        "Entry %s shows a rejected edit only if it reads the folder. The page"
            + " reports/configuration.html in the object store always shows it.");
  }

  private Report burn(EntrySnapshot snapshot) {
    TreeSet<String> expected =
        snapshot
            .overview()
            .map(EntryOverview::endpoints)
            .getOrElse(Vector.empty())
            .foldLeft(
                TreeSet.of(dataCentre), (names, found) -> names.add(found.dataCentre().value()));
    Report report =
        ServiceLevelReport.of(
            new ServiceLevelReport.Figures(
                snapshot.nowEpochMillis(),
                writer,
                snapshot
                    .configuration()
                    .map(
                        found ->
                            found.cluster().objectives().map(ObjectiveEvaluator::toReportTarget))
                    .getOrElse(Vector.empty()),
                collected.countsReader().total(),
                collected.countsReader().dataCentres(expected)));
    return withMissingDataSection(report);
  }

  private Report withMissingDataSection(Report report) {
    Vector<Block> lines =
        collected.countsReader().lastError().map(ReportPages::storeErrorLine).toVector();
    if (collected.countsSender().droppedIntervals() > 0) {
      lines =
          lines.append(
              new Block.Line(
                  Tone.UNKNOWN,
                  ("Entry %s dropped the counts of %s because the object store was unavailable for"
                          + " too long.")
                      .formatted(
                          writer,
                          DisplayFormat.count(
                              collected.countsSender().droppedIntervals(), "interval"))));
    }
    return lines.isEmpty()
        ? report
        : new Report(
            report.title(),
            report.writtenEpochMillis(),
            report.writer(),
            report.sections().prepend(new Section("What is missing", lines)));
  }

  private static Block storeErrorLine(String detail) {
    return new Block.Line(
        Tone.UNKNOWN,
        ("The object store does not answer (%s). The figures are those of the last reading;"
                + " counts since then wait in the memory of the entries.")
            .formatted(detail));
  }
}
