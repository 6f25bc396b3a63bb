package io.zinniawood.config;

import io.vavr.collection.Vector;

/**
 * Content of a configuration folder on disk.
 *
 * @param files files that are merged, in the order of their names
 * @param ignored names that are not merged, in their order
 * @param faults files that cannot be read
 */
public record FolderContent(
    Vector<ConfigurationFile> files, Vector<String> ignored, Vector<ConfigurationFault> faults) {}
