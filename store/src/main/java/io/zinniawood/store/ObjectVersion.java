package io.zinniawood.store;

/**
 * Name and version of an object.
 *
 * @param version opaque version that changes with each write
 */
public record ObjectVersion(String name, String version) {}
