package io.zinniawood.store;

/**
 * Name and version of an object.
 *
 * @param name name of the object
 * @param version opaque version, changed by each write
 */
public record ObjectVersion(String name, String version) {}
