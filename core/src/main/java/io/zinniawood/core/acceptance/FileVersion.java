package io.zinniawood.core.acceptance;

/**
 * Name and version of a configuration file.
 *
 * @param name file name without the folder
 * @param version opaque version that the object store assigned
 */
public record FileVersion(String name, String version) {}
