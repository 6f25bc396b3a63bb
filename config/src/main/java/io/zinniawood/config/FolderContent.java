package io.zinniawood.config;

import io.vavr.collection.Vector;

/**
 * Content of a configuration folder on disk.
 *
 * @param files files to merge, sorted by name
 * @param ignored names of files that are not merged, sorted
 * @param faults faults of files that cannot be read
 */
public record FolderContent(
    Vector<ConfigurationFile> files, Vector<String> ignored, Vector<ConfigurationFault> faults) {}
