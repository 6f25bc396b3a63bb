package io.zinniawood.config;

/**
 * File of the configuration folder.
 *
 * @param name file name without the folder
 * @param version opaque version assigned by the object store, empty for a file on disk
 * @param text content as TOML
 */
public record ConfigurationFile(String name, String version, String text) {}
