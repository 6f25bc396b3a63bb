package io.zinniawood.core.limit;

import io.zinniawood.core.id.EndpointIncarnation;
import java.util.OptionalDouble;

/**
 * A limit that was learned, has changed or has ended.
 *
 * @param beforePerSecond limit before, in requests a second; empty if there was none
 * @param afterPerSecond limit now, in requests a second; empty if it has ended
 */
public record LimitChange(
    EndpointIncarnation endpoint, OptionalDouble beforePerSecond, OptionalDouble afterPerSecond) {}
