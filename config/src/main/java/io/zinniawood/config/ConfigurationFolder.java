package io.zinniawood.config;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.config.internal.ClusterReader;
import io.zinniawood.config.internal.FolderSchema;
import io.zinniawood.config.internal.LocatedValue;
import io.zinniawood.config.internal.TextFiles;
import io.zinniawood.config.internal.TomlDocument;
import io.zinniawood.config.internal.ValueFormatter;
import io.zinniawood.config.internal.ValueTree;
import io.zinniawood.core.configuration.ClusterConfiguration;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Merges the files of the configuration folder. */
public final class ConfigurationFolder {
  /**
   * Largest number of reported faults. A file that is not TOML may have a fault in every line, and
   * operators do not read longer reports.
   */
  static final int MAX_FAULTS = 1_000;

  private ConfigurationFolder() {}

  /**
   * Merges files in the order of their names. Tables are merged key by key; a scalar or list in a
   * later file replaces the earlier value.
   *
   * @param files files in any order
   * @return the merged configuration, or the faults of all files
   */
  public static Either<Vector<ConfigurationFault>, MergedConfiguration> merge(
      Vector<ConfigurationFile> files) {
    Vector<ConfigurationFile> ordered = files.sorted(Comparator.comparing(ConfigurationFile::name));
    Vector<TomlDocument> documents =
        ordered.map(file -> TomlDocument.parse(file.name(), file.text()));
    Vector<ConfigurationFault> faults = documents.flatMap(FolderSchema.SCHEMA::check);
    ValueTree tree = documents.foldLeft(ValueTree.empty(), ValueTree::merge);
    // Without the values of a file that has a syntax error, checks that span several keys would
    // report follow-up faults.
    boolean allParsed = documents.forAll(document -> document.faults().isEmpty());
    if (!allParsed) {
      return Either.left(sortAndLimit(faults));
    }
    Either<Vector<ConfigurationFault>, ClusterConfiguration> cluster = ClusterReader.read(tree);
    Vector<ConfigurationFault> all =
        faults.appendAll(cluster.isLeft() ? cluster.getLeft() : Vector.empty());
    return all.isEmpty()
        ? Either.right(new MergedConfiguration(cluster.get(), ordered, origins(tree)))
        : Either.left(sortAndLimit(all));
  }

  /**
   * Returns whether a file of the folder is merged. Backup and lock files of editors are excluded;
   * their names start with a dot or have another extension.
   */
  public static boolean isMerged(String name) {
    return name.endsWith(".toml") && !name.startsWith(".") && !name.contains("/");
  }

  /** Reads a folder on disk; reports files that cannot be read as faults. */
  public static FolderContent read(Path folder) {
    Vector<Path> paths;
    try (Stream<Path> listed = Files.list(folder)) {
      paths = Vector.ofAll(listed.sorted().toList());
    } catch (IOException failed) {
      return new FolderContent(
          Vector.empty(),
          Vector.empty(),
          Vector.of(TextFiles.unreadableFault(folder.toString(), failed, "a readable folder")));
    }
    Vector<ConfigurationFile> files = Vector.empty();
    Vector<ConfigurationFault> faults = Vector.empty();
    for (Path path : paths.filter(path -> isMerged(fileName(path)))) {
      Either<ConfigurationFault, String> text = TextFiles.read(path, fileName(path));
      if (text.isRight()) {
        files = files.append(new ConfigurationFile(fileName(path), "", text.get()));
      } else {
        faults = faults.append(text.getLeft());
      }
    }
    return new FolderContent(
        files, paths.map(ConfigurationFolder::fileName).filter(name -> !isMerged(name)), faults);
  }

  private static String fileName(Path path) {
    return String.valueOf(path.getFileName());
  }

  private static Map<String, ValueOrigin> origins(ValueTree tree) {
    TreeMap<String, ValueOrigin> origins = TreeMap.empty();
    for (Vector<String> path : tree.values().keySet()) {
      LocatedValue located = tree.values().get(path).get();
      origins =
          origins.put(
              ValueFormatter.dottedKey(path),
              new ValueOrigin(
                  located.file(), located.line(), ValueFormatter.format(located.value())));
    }
    return origins;
  }

  /** Sorts the faults and replaces those beyond the limit by one fault with their number. */
  private static Vector<ConfigurationFault> sortAndLimit(Vector<ConfigurationFault> faults) {
    Vector<ConfigurationFault> all =
        faults
            .distinct()
            .sorted(
                Comparator.comparing(ConfigurationFault::file)
                    .thenComparingInt(ConfigurationFault::line)
                    .thenComparingInt(ConfigurationFault::column)
                    .thenComparing(ConfigurationFault::key));
    if (all.size() <= MAX_FAULTS) {
      return all;
    }
    ConfigurationFault next = all.get(MAX_FAULTS);
    return all.take(MAX_FAULTS)
        .append(
            new ConfigurationFault(
                next.file(),
                next.line(),
                next.column(),
                "",
                "%d more faults from here on".formatted(all.size() - MAX_FAULTS),
                "none"));
  }
}
