package io.zinniawood.config;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.zinniawood.config.internal.ClusterReader;
import io.zinniawood.config.internal.FolderSchema;
import io.zinniawood.config.internal.Located;
import io.zinniawood.config.internal.Texts;
import io.zinniawood.config.internal.TomlDocument;
import io.zinniawood.config.internal.ValueTree;
import io.zinniawood.core.configuration.ClusterConfiguration;
import java.util.Comparator;

/** Merges the files of the configuration folder. */
public final class ConfigurationFolder {
  private ConfigurationFolder() {}

  /**
   * Merges files in the order of their names. Tables merge by key; scalars and lists are replaced
   * by later files.
   *
   * @param files files in any order
   * @return the merged configuration, or every fault of all files
   */
  public static Either<Vector<ConfigurationFault>, MergedConfiguration> merge(
      Vector<ConfigurationFile> files) {
    Vector<ConfigurationFile> ordered = files.sorted(Comparator.comparing(ConfigurationFile::name));
    Vector<TomlDocument> documents =
        ordered.map(file -> TomlDocument.parse(file.name(), file.text()));
    Vector<ConfigurationFault> faults = documents.flatMap(FolderSchema.SCHEMA::check);
    ValueTree tree = documents.foldLeft(ValueTree.empty(), ValueTree::extend);
    // After a syntax error the tree lacks values, so checks over several keys would mislead.
    boolean complete = documents.forAll(document -> document.faults().isEmpty());
    if (!complete) {
      return Either.left(sorted(faults));
    }
    Either<Vector<ConfigurationFault>, ClusterConfiguration> cluster = ClusterReader.read(tree);
    Vector<ConfigurationFault> all =
        faults.appendAll(cluster.isLeft() ? cluster.getLeft() : Vector.empty());
    return all.isEmpty()
        ? Either.right(new MergedConfiguration(cluster.get(), ordered, origins(tree)))
        : Either.left(sorted(all));
  }

  private static Map<String, ValueOrigin> origins(ValueTree tree) {
    TreeMap<String, ValueOrigin> origins = TreeMap.empty();
    for (Vector<String> path : tree.values().keySet()) {
      Located located = tree.values().get(path).get();
      origins =
          origins.put(
              Texts.key(path),
              new ValueOrigin(located.file(), located.line(), Texts.full(located.value())));
    }
    return origins;
  }

  private static Vector<ConfigurationFault> sorted(Vector<ConfigurationFault> faults) {
    return faults
        .distinct()
        .sorted(
            Comparator.comparing(ConfigurationFault::file)
                .thenComparingInt(ConfigurationFault::line)
                .thenComparingInt(ConfigurationFault::column)
                .thenComparing(ConfigurationFault::key));
  }
}
