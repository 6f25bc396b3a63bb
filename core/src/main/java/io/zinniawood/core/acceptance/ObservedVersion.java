package io.zinniawood.core.acceptance;

/**
 * Version of a file that a round found in the store.
 *
 * @param version opaque version that the object store assigned
 * @param firstSeenNanos monotonic time when the version was first found, in nanoseconds
 */
public record ObservedVersion(String version, long firstSeenNanos) {}
