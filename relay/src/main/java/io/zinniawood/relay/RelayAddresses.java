package io.zinniawood.relay;

import io.zinniawood.core.model.NodeAddress;

/**
 * Addresses that a relay listens on.
 *
 * @param callers address for callers
 * @param admin address for readiness and metrics
 */
public record RelayAddresses(NodeAddress callers, NodeAddress admin) {}
