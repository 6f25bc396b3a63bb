package io.zinniawood.core.configuration;

import io.zinniawood.core.id.ModelId;

/**
 * Model that the system serves.
 *
 * @param id unique id
 * @param layers number of layers
 * @param minReplicasPerLayer number of replicas below which a layer range is repaired
 * @param maxTokens maximum number of tokens of one answer
 * @param defaultDeadlineMillis deadline of a request that specifies none, in milliseconds
 * @param weightsVersion version of the weights
 */
public record ModelDefinition(
    ModelId id,
    int layers,
    int minReplicasPerLayer,
    int maxTokens,
    long defaultDeadlineMillis,
    String weightsVersion) {}
