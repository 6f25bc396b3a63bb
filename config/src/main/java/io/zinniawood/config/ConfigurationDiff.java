package io.zinniawood.config;

import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import io.zinniawood.config.internal.ClusterWriter;
import io.zinniawood.config.internal.JsonTree;
import io.zinniawood.config.internal.ValueFormatter;
import io.zinniawood.core.configuration.ClusterConfiguration;

/** Compares configurations key by key; a key that is not set has its default. */
public final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /**
   * Returns the differences sorted by key.
   *
   * @param before accepted configuration, none if there is none yet
   * @param after configuration that would replace it
   */
  public static Vector<ConfigurationChange> between(
      Option<ClusterConfiguration> before, ClusterConfiguration after) {
    Map<String, String> oldValues =
        before.map(ConfigurationDiff::values).getOrElse(TreeMap.empty());
    Map<String, String> newValues = values(after);
    return TreeSet.ofAll(oldValues.keySet())
        .addAll(newValues.keySet())
        .toVector()
        .filter(key -> !oldValues.get(key).equals(newValues.get(key)))
        .map(key -> new ConfigurationChange(key, oldValues.get(key), newValues.get(key)));
  }

  /** Returns the value of each key as text, including defaults. */
  static Map<String, String> values(ClusterConfiguration cluster) {
    return JsonTree.read(ClusterWriter.write(cluster))
        .values()
        .foldLeft(
            TreeMap.<String, String>empty(),
            (map, entry) ->
                map.put(
                    ValueFormatter.dottedKey(entry._1()),
                    ValueFormatter.format(entry._2().value())));
  }
}
