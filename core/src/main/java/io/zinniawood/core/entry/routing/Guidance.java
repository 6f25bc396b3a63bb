package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.DataCentreId;
import java.util.function.Predicate;

/**
 * What guides the choice of a chain besides the stages themselves.
 *
 * @param entry data centre of the entry
 * @param plan flow that the choice follows between data centres
 * @param degraded tells which links to avoid if there is another way
 * @param speeds time between tokens by endpoint
 * @param prefixHash hash of the start of the prompt
 * @param loadFactor load relative to the mean up to which prefix affinity holds
 */
public record Guidance(
    DataCentreId entry,
    FlowPlan plan,
    Predicate<LinkPair> degraded,
    StepSpeeds speeds,
    long prefixHash,
    double loadFactor) {}
