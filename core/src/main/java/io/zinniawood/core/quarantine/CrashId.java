package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.EndpointId;

/**
 * Identifies the crash of an endpoint for all routers that saw it.
 *
 * @param endpoint endpoint that crashed
 * @param startedMillis Unix time in milliseconds at which the crashed process had started
 */
public record CrashId(EndpointId endpoint, long startedMillis) {}
