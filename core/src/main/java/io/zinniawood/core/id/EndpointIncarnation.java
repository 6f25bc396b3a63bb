package io.zinniawood.core.id;

/**
 * One process start of an endpoint; an endpoint that restarts may keep its id.
 *
 * @param startedMillis Unix time of the process start in milliseconds; 0 if unknown
 */
public record EndpointIncarnation(EndpointId endpoint, long startedMillis) {}
