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

/** Compares configurations key by key, with defaults as values. */
public final class ConfigurationDiff {
  private ConfigurationDiff() {}

  /**
   * Returns what changes in the order of the keys.
   *
   * @param before configuration in force, none if there is none
   * @param after configuration that would replace it
   */
  public static Vector<ConfigurationChange> between(
      Option<ClusterConfiguration> before, ClusterConfiguration after) {
    Map<String, String> old = before.map(ConfigurationDiff::values).getOrElse(TreeMap.empty());
    Map<String, String> young = values(after);
    return TreeSet.ofAll(old.keySet())
        .addAll(young.keySet())
        .toVector()
        .filter(key -> !old.get(key).equals(young.get(key)))
        .map(key -> new ConfigurationChange(key, old.get(key), young.get(key)));
  }

  /** Returns the value of each key as text, with defaults. */
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
