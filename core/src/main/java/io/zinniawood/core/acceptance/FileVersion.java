package io.zinniawood.core.acceptance;

/**
 * Name and version of a configuration file.
 *
 * @param name file name without the folder
 * @param version opaque version of the object store
 */
public record FileVersion(String name, String version) {}
