package io.zinniawood.core.configuration;

/**
 * Repair policy.
 *
 * @param maxConcurrentLoads most model loads at the same time
 * @param graceMillis time for which a layer range must be short of replicas before repair, in
 *     milliseconds
 * @param leaseMillis lease time of the controller in milliseconds
 */
public record RepairPolicy(int maxConcurrentLoads, long graceMillis, long leaseMillis) {}
