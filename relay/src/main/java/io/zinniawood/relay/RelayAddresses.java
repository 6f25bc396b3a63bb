package io.zinniawood.relay;

import io.zinniawood.core.model.NodeAddress;
import java.util.Optional;

/**
 * Addresses that a relay listens on.
 *
 * @param callers address for callers
 * @param admin address for readiness and metrics
 * @param peers UDP address for messages of other relays; empty to exchange none
 */
public record RelayAddresses(NodeAddress callers, NodeAddress admin, Optional<NodeAddress> peers) {}
