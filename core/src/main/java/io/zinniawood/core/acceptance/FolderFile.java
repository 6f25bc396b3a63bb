package io.zinniawood.core.acceptance;

/**
 * Content of a configuration file.
 *
 * @param name file name without the folder
 * @param version opaque version that the object store assigned
 * @param text TOML text
 */
public record FolderFile(String name, String version, String text) {}
