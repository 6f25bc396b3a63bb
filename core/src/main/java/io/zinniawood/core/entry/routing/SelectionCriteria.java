package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.DataCentreId;
import java.util.function.Predicate;

/**
 * What guides the choice of a chain besides the stages themselves.
 *
 * @param entryDataCentre data centre of the entry
 * @param plan flow that the choice follows between data centres
 * @param degradedLinks tells which links to avoid if there is another way
 * @param tokenGaps time between tokens by endpoint
 * @param prefixHash hash of the start of the prompt
 * @param affinityLoadFactor load relative to the mean up to which prefix affinity holds
 */
public record SelectionCriteria(
    DataCentreId entryDataCentre,
    FlowPlan plan,
    Predicate<EndpointLink> degradedLinks,
    TokenGapEstimates tokenGaps,
    long prefixHash,
    double affinityLoadFactor) {}
