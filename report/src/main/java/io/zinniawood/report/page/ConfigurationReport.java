package io.zinniawood.report.page;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.report.Block;
import io.zinniawood.report.DisplayFormat;
import io.zinniawood.report.Report;
import io.zinniawood.report.Section;
import io.zinniawood.report.Tone;

/** Report on the accepted configuration, on who is behind, and on rejected edits. */
public final class ConfigurationReport {
  private static final int MAX_SHOWN_FAULTS = 50;
  private static final int DIGEST_CHARACTERS = 12;
  private static final int MAX_SHOWN_NAMES = 8;

  private ConfigurationReport() {}

  /**
   * Accepted configuration.
   *
   * @param generation generation
   * @param digest SHA-256 of the merged text in hexadecimal
   * @param sinceEpochMillis time since which it is in force here, in milliseconds since 1970
   * @param changedFiles files that the acceptance changed, empty if this entry did not accept it
   */
  public record Accepted(
      long generation, String digest, long sinceEpochMillis, Vector<String> changedFiles) {}

  /**
   * Process and its generation.
   *
   * @param name name
   * @param generation generation that it uses
   * @param lastMessageEpochMillis time of its last message in milliseconds since 1970
   */
  public record ProcessGeneration(String name, long generation, long lastMessageEpochMillis) {}

  /**
   * Edit that was not accepted.
   *
   * @param atEpochMillis time in milliseconds since 1970
   * @param faults one line for each fault
   * @param files files of the folder with their versions
   */
  public record RejectedEdit(long atEpochMillis, Vector<String> faults, Vector<String> files) {}

  /**
   * Figures of the report.
   *
   * @param nowEpochMillis time of writing in milliseconds since 1970
   * @param writer process that writes
   * @param accepted accepted configuration, none before the first one
   * @param processes processes that this one hears from
   * @param rejection edit that is in the folder now and was not accepted
   * @param notices other observations, newest first
   */
  public record Figures(
      long nowEpochMillis,
      String writer,
      Option<Accepted> accepted,
      Vector<ProcessGeneration> processes,
      Option<RejectedEdit> rejection,
      Vector<Notice> notices) {}

  /**
   * Observation of the acceptance.
   *
   * @param atEpochMillis time in milliseconds since 1970
   * @param text a sentence
   */
  public record Notice(long atEpochMillis, String text) {}

  /** Returns the sentence for a file of which two versions were written within a short time. */
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

  /** Returns the report. */
  public static Report of(Figures figures) {
    Vector<Section> sections = Vector.of(acceptedSection(figures));
    sections =
        sections.appendAll(figures.rejection().map(found -> rejectedSection(figures, found)));
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
                                  remark ->
                                      new Block.Item(
                                          0,
                                          Tone.PLAIN,
                                          DisplayFormat.timeToSecond(remark.atEpochMillis())
                                              + ": "
                                              + remark.text()))))));
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

  private static Section rejectedSection(Figures figures, RejectedEdit rejection) {
    String inForce =
        figures
            .accepted()
            .map(found -> "Configuration number %d stays in force.".formatted(found.generation()))
            .getOrElse("No configuration is in force.");
    Vector<Block.Item> faults =
        rejection
            .faults()
            .take(MAX_SHOWN_FAULTS)
            .map(fault -> new Block.Item(0, Tone.PLAIN, fault));
    Section section =
        Section.of(
            "Not accepted",
            new Block.Line(
                Tone.BAD,
                "The folder as read at %s was not accepted. %s Correct these places; the next"
                        .formatted(DisplayFormat.timeToSecond(rejection.atEpochMillis()), inForce)
                    + " reading of the folder takes the correction."),
            new Block.Outline(faults));
    int hidden = rejection.faults().size() - faults.size();
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
            "Files read: %s."
                .formatted(DisplayFormat.nameList(rejection.files(), MAX_SHOWN_NAMES))));
  }

  private static Section processSection(Figures figures) {
    long generation = figures.accepted().map(Accepted::generation).getOrElse(0L);
    Vector<ProcessGeneration> behind =
        figures.processes().filter(node -> node.generation() < generation);
    Vector<ProcessGeneration> ahead =
        figures.processes().filter(node -> node.generation() > generation);
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
                    node ->
                        Vector.of(
                            node.name(),
                            Long.toString(node.generation()),
                            DisplayFormat.duration(
                                    figures.nowEpochMillis() - node.lastMessageEpochMillis())
                                + " ago"))));
  }
}
