package io.zinniawood.core.path;

/**
 * Fixed costs of a path in the unit of the candidates' times.
 *
 * @param partMillis cost of each part: one more handover and one more wait for a pass
 * @param dataCentreHop cost of a part in another data centre than the one before it
 * @param entryHopMillis cost of a first part in another data centre than the caller's entry
 */
public record PathCosts(
    double partMillis, DataCentreHopCost dataCentreHop, double entryHopMillis) {}
