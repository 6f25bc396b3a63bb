package io.zinniawood.core.acceptance;

/**
 * Configuration file as it was read.
 *
 * @param name file name without the folder
 * @param version opaque version of the object store
 * @param text content
 */
public record FolderFile(String name, String version, String text) {}
