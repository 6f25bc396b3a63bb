package io.zinniawood.core.configuration;

import io.zinniawood.core.id.Generation;

/**
 * Accepted configuration with its generation.
 *
 * @param generation number that each acceptance increases
 * @param digest SHA-256 of the merged text in hexadecimal
 * @param cluster merged configuration
 */
public record AcceptedConfiguration(
    Generation generation, String digest, ClusterConfiguration cluster) {}
