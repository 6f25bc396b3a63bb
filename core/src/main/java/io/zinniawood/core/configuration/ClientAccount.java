package io.zinniawood.core.configuration;

import io.vavr.collection.Set;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.model.Priority;

/**
 * Client account with its limits.
 *
 * @param id unique id
 * @param keySha256Hex SHA-256 of each API key in lower-case hexadecimal
 * @param requestsPerSecond limit of the request rate, summed over all entries
 * @param burstRequests largest burst of requests, summed over all entries
 * @param maxConcurrent limit of open requests, summed over all entries
 * @param weight fair-share weight, at least 1
 * @param priority priority of requests that specify none
 */
public record ClientAccount(
    ClientAccountId id,
    Set<String> keySha256Hex,
    double requestsPerSecond,
    int burstRequests,
    int maxConcurrent,
    int weight,
    Priority priority) {}
