package io.zinniawood.core.configuration;

/**
 * How requests are spread over endpoints.
 *
 * @param subsetSize maximum number of endpoints of a pool to which an entry connects
 * @param affinityLoadFactor load relative to the mean up to which prefix-cache affinity holds, at
 *     least 1
 * @param slowStartMillis time after which a new endpoint gets its full share, in milliseconds
 * @param maxEjectedShare largest share of a pool that may be ejected, 0 to 1
 * @param progressTimeoutMillis time without progress after which a stage is replaced, in
 *     milliseconds
 */
public record RoutingPolicy(
    int subsetSize,
    double affinityLoadFactor,
    long slowStartMillis,
    double maxEjectedShare,
    long progressTimeoutMillis) {}
