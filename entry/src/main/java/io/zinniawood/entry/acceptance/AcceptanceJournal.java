package io.zinniawood.entry.acceptance;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.core.acceptance.AcceptanceNotice;
import io.zinniawood.core.acceptance.FileVersion;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.report.page.ConfigurationReport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Collects the data of the configuration report from the notices and configurations of a {@link
 * ConfigurationSync}. Thread-safe.
 */
public final class AcceptanceJournal implements Consumer<AcceptanceNotice> {
  private static final int MAX_NOTICES = 50;

  private final LongSupplier clockEpochMillis;
  private Option<ConfigurationReport.Accepted> accepted = Option.none();
  private Option<ConfigurationReport.RejectedEdit> rejection = Option.none();
  private Vector<ConfigurationReport.Notice> reportNotices = Vector.empty();

  /**
   * Creates an empty journal.
   *
   * @param clockEpochMillis wall clock in milliseconds since the epoch
   */
  public AcceptanceJournal(LongSupplier clockEpochMillis) {
    this.clockEpochMillis = clockEpochMillis;
  }

  /** Records that a configuration is in force as of now. */
  public synchronized void recordInForce(AcceptedConfiguration configuration) {
    accepted =
        Option.of(
            new ConfigurationReport.Accepted(
                configuration.generation().value(),
                configuration.digest(),
                clockEpochMillis.getAsLong(),
                Vector.empty()));
  }

  @Override
  public synchronized void accept(AcceptanceNotice notice) {
    long nowMillis = clockEpochMillis.getAsLong();
    if (notice instanceof AcceptanceNotice.Accepted newlyAccepted) {
      rejection = Option.none();
      accepted =
          accepted.map(
              present ->
                  present.generation() == newlyAccepted.generation().value()
                      ? new ConfigurationReport.Accepted(
                          present.generation(),
                          present.digest(),
                          present.sinceEpochMillis(),
                          newlyAccepted.changedFiles())
                      : present);
    } else if (notice instanceof AcceptanceNotice.Unchanged) {
      rejection = Option.none();
    } else if (notice instanceof AcceptanceNotice.Rejected rejected) {
      rejection =
          Option.of(
              new ConfigurationReport.RejectedEdit(
                  nowMillis, rejected.faults(), rejected.files().map(AcceptanceJournal::describe)));
    } else if (notice instanceof AcceptanceNotice.Overwritten overwritten) {
      addReportNotice(
          nowMillis,
          ConfigurationReport.overwriteNotice(
              overwritten.file(),
              overwritten.replacedVersion(),
              overwritten.presentVersion(),
              overwritten.replacedInForce()));
    } else if (notice instanceof AcceptanceNotice.Inconsistent inconsistent) {
      addReportNotice(
          nowMillis,
          "The configuration folder will be read again: %s.".formatted(inconsistent.detail()));
    } else if (notice instanceof AcceptanceNotice.StoreTrouble trouble) {
      addReportNotice(
          nowMillis,
          "The configuration in force is kept, as the store failed (%d times in a row): %s."
              .formatted(trouble.failures(), trouble.detail()));
    }
  }

  /** Returns the data of the configuration report. */
  public synchronized ConfigurationReport.Figures figures(
      String writer, Vector<ConfigurationReport.ProcessGeneration> nodes) {
    return new ConfigurationReport.Figures(
        clockEpochMillis.getAsLong(), writer, accepted, nodes, rejection, reportNotices);
  }

  private void addReportNotice(long nowMillis, String text) {
    reportNotices =
        reportNotices.prepend(new ConfigurationReport.Notice(nowMillis, text)).take(MAX_NOTICES);
  }

  private static String describe(FileVersion file) {
    return "%s version %s".formatted(file.name(), file.version());
  }
}
