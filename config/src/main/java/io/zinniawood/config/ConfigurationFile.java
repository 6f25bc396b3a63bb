package io.zinniawood.config;

/**
 * One file of the configuration folder.
 *
 * @param name file name without the folder
 * @param version opaque version of the object store
 * @param text content
 */
public record ConfigurationFile(String name, String version, String text) {}
