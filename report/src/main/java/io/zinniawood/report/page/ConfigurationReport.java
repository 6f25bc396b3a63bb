package io.zinniawood.report.page;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;

/** Report on the accepted configuration, outdated processes and rejected edits. */
public final class ConfigurationReport {
  private static final int MAX_SHOWN_FAULTS = 50;
  private static final int DIGEST_CHARACTERS = 12;
  private static final int MAX_SHOWN_NAMES = 8;

  private ConfigurationReport() {}

  /**
   * Accepted configuration.
   *
   * @param generation number of the configuration, which increases with each acceptance
   * @param digest SHA-256 of the merged text in hexadecimal
   * @param sinceEpochMillis time at which it took effect here, in milliseconds since 1970
   * @param changedFiles files that differ from the previous configuration, empty if another entry
   *     accepted it
   */
  public record Accepted(
      long generation, String digest, long sinceEpochMillis, Vector<String> changedFiles) {}

  /**
   * Configuration generation that a process uses.
   *
   * @param name name of the process
   * @param generation generation that it uses
   * @param lastMessageEpochMillis time of its last message in milliseconds since 1970
   */
  public record ProcessGeneration(String name, long generation, long lastMessageEpochMillis) {}

  /**
   * Edit of the configuration folder that was not accepted.
   *
   * @param atEpochMillis time at which the folder was read, in milliseconds since 1970
   * @param faults one line for each configuration error
   * @param files names and versions of the files in the folder
   */
  public record RejectedEdit(long atEpochMillis, Vector<String> faults, Vector<String> files) {}

  /**
   * Input of the report.
   *
   * @param nowEpochMillis creation time of the report in milliseconds since 1970
   * @param writer name of the process that creates the report
   * @param accepted configuration in force, none before the first acceptance
   * @param processes processes that send messages to this one
   * @param rejection edit in the folder that was not accepted, none if the folder is accepted
   * @param notices other events, newest first
   */
  public record Figures(
      long nowEpochMillis,
      String writer,
      Option<Accepted> accepted,
      Vector<ProcessGeneration> processes,
      Option<RejectedEdit> rejection,
      Vector<Notice> notices) {}

  /**
   * Event that concerns the acceptance of configurations.
   *
   * @param atEpochMillis time of the event in milliseconds since 1970
   * @param text description in full sentences
   */
  public record Notice(long atEpochMillis, String text) {}

  /** Returns the notice for a file that was overwritten shortly after another write. */
  public static String overwriteNotice(
      String file, String replacedVersion, String presentVersion, boolean replacedInForce) {
    return ("File %s was written twice within a minute: version %s %s and was replaced by version"
            + " %s. If two people edited it, only the later edit counts; compare both versions.")
        .formatted(
            file,
            replacedVersion,
            replacedInForce ? "was in force" : "was never in force",
            presentVersion);
  }

  /** Builds the report from the figures. */
  public static Report of(Figures figures) {
    Vector<Section> sections = Vector.of(acceptedSection(figures));
    sections = sections.appendAll(figures.rejection().map(edit -> rejectedSection(figures, edit)));
    sections = sections.append(processSection(figures));
    if (!figures.notices().isEmpty()) {
      sections =
          sections.append(
              new Section(
                  "What else happened",
                  Vector.of(
                      new Block.Outline(
                          figures
                              .notices()
                              .map(
                                  notice ->
                                      new Block.Item(
                                          0,
                                          Tone.PLAIN,
                                          DisplayFormat.timeToSecond(notice.atEpochMillis())
                                              + ": "
                                              + notice.text()))))));
    }
    return new Report("Configuration", figures.nowEpochMillis(), figures.writer(), sections);
  }

  private static Section acceptedSection(Figures figures) {
    if (figures.accepted().isEmpty()) {
      return Section.of(
          "In force",
          new Block.Line(
              Tone.BAD,
              "No configuration was accepted yet, so no requests are taken. Put at least one valid"
                  + " file that ends in .toml into the folder."));
    }
    Accepted accepted = figures.accepted().get();
    Section section =
        Section.of(
            "In force",
            new Block.Line(
                Tone.PLAIN,
                "Configuration number %d is in force here since %s (digest %s)."
                    .formatted(
                        accepted.generation(),
                        DisplayFormat.timeToSecond(accepted.sinceEpochMillis()),
                        accepted
                            .digest()
                            .substring(
                                0, Math.min(DIGEST_CHARACTERS, accepted.digest().length())))));
    return accepted.changedFiles().isEmpty()
        ? section
        : section.with(
            new Block.Line(
                Tone.PLAIN,
                "It came from a change of %s."
                    .formatted(DisplayFormat.nameList(accepted.changedFiles(), MAX_SHOWN_NAMES))));
  }

  private static Section rejectedSection(Figures figures, RejectedEdit edit) {
    String inForce =
        figures
            .accepted()
            .map(kept -> "Configuration number %d stays in force.".formatted(kept.generation()))
            .getOrElse("No configuration is in force.");
    Vector<Block.Item> faults =
        edit.faults().take(MAX_SHOWN_FAULTS).map(fault -> new Block.Item(0, Tone.PLAIN, fault));
    Section section =
        Section.of(
            "Not accepted",
            new Block.Line(
                Tone.BAD,
                "The folder as read at %s was not accepted. %s Correct these places; the next"
                        .formatted(DisplayFormat.timeToSecond(edit.atEpochMillis()), inForce)
                    + " reading of the folder takes the correction."),
            new Block.Outline(faults));
    int hidden = edit.faults().size() - faults.size();
    if (hidden > 0) {
      section =
          section.with(
              new Block.Line(
                  Tone.PLAIN,
                  "%s more; the command \"zinniawood check\" lists all."
                      .formatted(DisplayFormat.count(hidden, "fault"))));
    }
    return section.with(
        new Block.Line(
            Tone.PLAIN,
            "Files read: %s.".formatted(DisplayFormat.nameList(edit.files(), MAX_SHOWN_NAMES))));
  }

  private static Section processSection(Figures figures) {
    long generation = figures.accepted().map(Accepted::generation).getOrElse(0L);
    Vector<ProcessGeneration> behind =
        figures.processes().filter(process -> process.generation() < generation);
    Vector<ProcessGeneration> ahead =
        figures.processes().filter(process -> process.generation() > generation);
    if (figures.processes().isEmpty()) {
      return Section.of(
          "Other processes",
          new Block.Line(
              Tone.UNKNOWN, "This process hears from no other process that uses a configuration."));
    }
    Section section =
        Section.of(
            "Other processes",
            behind.isEmpty()
                ? new Block.Line(
                    Tone.GOOD,
                    "All %d processes that this one hears from use it."
                        .formatted(figures.processes().size()))
                : new Block.Line(
                    Tone.WARNING,
                    "%d of %d are behind. Each fetches the configuration with its next message."
                        .formatted(behind.size(), figures.processes().size())));
    if (!ahead.isEmpty()) {
      section =
          section.with(
              new Block.Line(
                  Tone.WARNING,
                  "%s have a higher number; this process is fetching it."
                      .formatted(
                          DisplayFormat.nameList(
                              ahead.map(ProcessGeneration::name), MAX_SHOWN_NAMES))));
    }
    return behind.isEmpty()
        ? section
        : section.with(
            new Block.Table(
                Vector.of(
                    Block.Column.text("process"),
                    Block.Column.number("number"),
                    Block.Column.number("heard")),
                behind.map(
                    process ->
                        Vector.of(
                            process.name(),
                            Long.toString(process.generation()),
                            DisplayFormat.duration(
                                    figures.nowEpochMillis() - process.lastMessageEpochMillis())
                                + " ago"))));
  }
}
