package io.zinniawood.core.configuration;

import io.zinniawood.core.id.Generation;

/**
 * Configuration that is in force.
 *
 * @param generation generation, increasing
 * @param digest SHA-256 of the merged text in hexadecimal
 * @param cluster the configuration
 */
public record AcceptedConfiguration(
    Generation generation, String digest, ClusterConfiguration cluster) {}
