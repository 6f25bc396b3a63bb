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
 * Keeps what the configuration report shows. Takes the notices and configurations of a {@link
 * ConfigurationSync}; all methods may be called from any thread.
 */
public final class AcceptanceJournal implements Consumer<AcceptanceNotice> {
  private static final int MAX_REMARKS = 50;

  private final LongSupplier clockEpochMillis;
  private Option<ConfigurationReport.Accepted> accepted = Option.none();
  private Option<ConfigurationReport.RejectedEdit> rejection = Option.none();
  private Vector<ConfigurationReport.Notice> remarks = Vector.empty();

  /**
   * Creates an empty journal.
   *
   * @param clockEpochMillis wall clock in milliseconds since 1970
   */
  public AcceptanceJournal(LongSupplier clockEpochMillis) {
    this.clockEpochMillis = clockEpochMillis;
  }

  /** Records that a configuration is in force from now on. */
  public synchronized void inForce(AcceptedConfiguration configuration) {
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
    if (notice instanceof AcceptanceNotice.Accepted found) {
      rejection = Option.none();
      accepted =
          accepted.map(
              present ->
                  present.generation() == found.generation().value()
                      ? new ConfigurationReport.Accepted(
                          present.generation(),
                          present.digest(),
                          present.sinceEpochMillis(),
                          found.changedFiles())
                      : present);
    } else if (notice instanceof AcceptanceNotice.Unchanged) {
      rejection = Option.none();
    } else if (notice instanceof AcceptanceNotice.Rejected found) {
      rejection =
          Option.of(
              new ConfigurationReport.RejectedEdit(
                  nowMillis, found.faults(), found.files().map(AcceptanceJournal::file)));
    } else if (notice instanceof AcceptanceNotice.Overwritten found) {
      remark(
          nowMillis,
          ConfigurationReport.overwriteNotice(
              found.file(),
              found.replacedVersion(),
              found.presentVersion(),
              found.replacedInForce()));
    } else if (notice instanceof AcceptanceNotice.Inconsistent found) {
      remark(nowMillis, "The folder is read again: %s.".formatted(found.detail()));
    } else if (notice instanceof AcceptanceNotice.StoreTrouble found) {
      remark(
          nowMillis,
          "The configuration in force stays while the store fails (%d times in a row): %s."
              .formatted(found.failures(), found.detail()));
    }
  }

  /** Returns the figures of the configuration report. */
  public synchronized ConfigurationReport.Figures figures(
      String writer, Vector<ConfigurationReport.ProcessGeneration> nodes) {
    return new ConfigurationReport.Figures(
        clockEpochMillis.getAsLong(), writer, accepted, nodes, rejection, remarks);
  }

  private void remark(long nowMillis, String text) {
    remarks = remarks.prepend(new ConfigurationReport.Notice(nowMillis, text)).take(MAX_REMARKS);
  }

  private static String file(FileVersion file) {
    return "%s version %s".formatted(file.name(), file.version());
  }
}
