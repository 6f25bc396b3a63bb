package io.zinniawood.core.entry.routing;

import io.zinniawood.core.id.DataCentreId;
import java.util.function.Predicate;

/**
 * Criteria for selecting a chain, besides the weights and loads of the stages.
 *
 * @param entryDataCentre data centre of the entry
 * @param plan flow plan that determines the shares of the hops between data centres
 * @param degradedLinks matches links that are avoided if there is an alternative
 * @param tokenGaps estimated time between tokens by inbound link of an endpoint
 * @param prefixHash hash of the beginning of the prompt
 * @param affinityLoadFactor maximum load relative to the weighted mean at which prefix affinity
 *     applies
 */
public record SelectionCriteria(
    DataCentreId entryDataCentre,
    FlowPlan plan,
    Predicate<EndpointLink> degradedLinks,
    TokenGapEstimates tokenGaps,
    long prefixHash,
    double affinityLoadFactor) {}
