package io.zinniawood.core.acceptance;

/**
 * Version of a file that a round saw in the store.
 *
 * @param version opaque version of the object store
 * @param firstSeenNanos monotonic time when it was first seen, in nanoseconds
 */
public record ObservedVersion(String version, long firstSeenNanos) {}
