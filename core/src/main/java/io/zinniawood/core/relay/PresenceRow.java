package io.zinniawood.core.relay;

import io.zinniawood.core.id.StoreVersion;
import io.zinniawood.core.model.NodeAddress;
import java.util.Optional;

/**
 * Presence row of a relay in the store.
 *
 * @param version store version of the row
 * @param peerAddress address at which the relay receives messages of other relays; empty if it
 *     receives none
 */
public record PresenceRow(StoreVersion version, Optional<NodeAddress> peerAddress) {}
