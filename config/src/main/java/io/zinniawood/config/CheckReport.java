package io.zinniawood.config;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.zinniawood.core.configuration.AcceptedConfiguration;
import io.zinniawood.core.id.Generation;

/**
 * Result of validating a configuration folder before it is uploaded.
 *
 * @param files names of the merged files in merge order
 * @param ignored names of files that are not merged
 * @param faults all faults, empty if the folder is valid
 * @param values merged values, empty if there are faults
 * @param comparedWith generation of the accepted configuration that the folder was compared with,
 *     none without a comparison
 * @param changes differences from the accepted configuration, empty if there are faults
 */
public record CheckReport(
    Vector<String> files,
    Vector<String> ignored,
    Vector<ConfigurationFault> faults,
    Vector<CheckedValue> values,
    Option<Generation> comparedWith,
    Vector<ConfigurationChange> changes) {

  /**
   * Merged value of one key.
   *
   * @param key dotted key
   * @param value value as text
   * @param origin file and line that set the value, none for a default
   */
  public record CheckedValue(String key, String value, Option<ValueOrigin> origin) {
    /** Returns key, value and origin as one line of text. */
    public String text() {
      return "%s = %s (%s)"
          .formatted(
              key,
              value,
              origin
                  .map(found -> "%s:%d".formatted(found.file(), found.line()))
                  .getOrElse("default"));
    }
  }

  /**
   * Validates the content of a folder.
   *
   * @param content content of the folder
   * @param accepted accepted configuration to compare with, none to validate without a comparison
   */
  public static CheckReport of(FolderContent content, Option<AcceptedConfiguration> accepted) {
    Either<Vector<ConfigurationFault>, MergedConfiguration> merged =
        ConfigurationFolder.merge(content.files());
    Vector<ConfigurationFault> faults =
        content.faults().appendAll(merged.isLeft() ? merged.getLeft() : Vector.empty());
    if (content.files().isEmpty() && faults.isEmpty()) {
      faults =
          Vector.of(
              new ConfigurationFault(
                  ".",
                  1,
                  1,
                  "",
                  "no file that ends in .toml",
                  "at least one, because entries reject an empty folder"));
    }
    Vector<String> names = content.files().map(ConfigurationFile::name).sorted();
    if (!faults.isEmpty()) {
      return new CheckReport(
          names, content.ignored(), faults, Vector.empty(), Option.none(), Vector.empty());
    }
    return new CheckReport(
        names,
        content.ignored(),
        Vector.empty(),
        values(merged.get()),
        accepted.map(AcceptedConfiguration::generation),
        accepted.isEmpty()
            ? Vector.empty()
            : ConfigurationDiff.between(
                accepted.map(AcceptedConfiguration::cluster), merged.get().cluster()));
  }

  /** Returns whether the folder has no faults, so that an entry would accept it. */
  public boolean valid() {
    return faults.isEmpty();
  }

  /** Returns the report as lines of text for an operator. */
  public Vector<String> lines() {
    Vector<String> lines =
        ignored.map(name -> "%s: ignored, its name does not end in .toml".formatted(name));
    if (!valid()) {
      return lines
          .appendAll(faults.map(ConfigurationFault::text))
          .append(
              "The folder has %d fault%s and would not be accepted."
                  .formatted(faults.size(), faults.size() == 1 ? "" : "s"));
    }
    lines = lines.appendAll(values.map(CheckedValue::text));
    if (comparedWith.isDefined()) {
      lines =
          lines
              .append(
                  changes.isEmpty()
                      ? "It equals the accepted configuration %s.".formatted(comparedWith.get())
                      : "Changes against the accepted configuration %s:"
                          .formatted(comparedWith.get()))
              .appendAll(changes.map(ConfigurationChange::text));
    }
    return lines.append("The folder is valid.");
  }

  private static Vector<CheckedValue> values(MergedConfiguration merged) {
    Map<String, String> all = TreeMap.ofEntries(ConfigurationDiff.values(merged.cluster()));
    return all.toVector()
        .map(entry -> new CheckedValue(entry._1(), entry._2(), merged.origins().get(entry._1())));
  }
}
