package io.zinniawood.config;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.core.configuration.ClusterConfiguration;

/**
 * Result of merging the files of a valid configuration folder.
 *
 * @param cluster merged configuration
 * @param files merged files, sorted by name
 * @param origins file and line that set the value, by dotted key
 */
public record MergedConfiguration(
    ClusterConfiguration cluster,
    Vector<ConfigurationFile> files,
    Map<String, ValueOrigin> origins) {}
