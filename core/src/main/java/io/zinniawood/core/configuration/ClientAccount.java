package io.zinniawood.core.configuration;

import io.vavr.collection.Set;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.model.Priority;

/**
 * Client account with its limits.
 *
 * @param id id
 * @param keySha256Hex SHA-256 of each API key in lower-case hexadecimal
 * @param requestsPerSecond limit of the request rate over all entries
 * @param burstRequests requests that may come at once over all entries
 * @param maxConcurrent limit of open requests over all entries
 * @param weight fair-share weight, at least 1
 * @param priority default priority of its requests
 */
public record ClientAccount(
    ClientAccountId id,
    Set<String> keySha256Hex,
    double requestsPerSecond,
    int burstRequests,
    int maxConcurrent,
    int weight,
    Priority priority) {}
