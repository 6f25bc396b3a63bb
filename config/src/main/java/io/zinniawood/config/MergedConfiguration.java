package io.zinniawood.config;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.ClusterConfiguration;

/**
 * Result of merging a valid folder.
 *
 * @param cluster the configuration
 * @param files files in the order of their names
 * @param origins for each dotted key the file and line that its value came from
 */
public record MergedConfiguration(
    ClusterConfiguration cluster,
    Vector<ConfigurationFile> files,
    Map<String, ValueOrigin> origins) {}
