package io.zinniawood.core.configuration;

/**
 * When and how replicas of layer ranges are restored.
 *
 * @param maxConcurrentLoads maximum number of concurrent model loads
 * @param graceMillis time for which a layer range must have too few replicas before it is repaired,
 *     in milliseconds
 * @param leaseMillis duration of the controller lease in milliseconds
 */
public record RepairPolicy(int maxConcurrentLoads, long graceMillis, long leaseMillis) {}
