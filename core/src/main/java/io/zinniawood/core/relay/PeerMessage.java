package io.zinniawood.core.relay;

import io.zinniawood.core.id.EndpointIncarnation;
import io.zinniawood.core.id.StoreEra;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.limit.LimitNotice;
import io.zinniawood.core.load.LoadNotice;
import io.zinniawood.core.quarantine.QuarantineNotice;
import java.util.List;
import java.util.Optional;

/**
 * State that a relay sends to other relays.
 *
 * @param vm VM of the sender
 * @param storeEra era of the store that the sender reads; all versions in the message are of this
 *     era
 * @param storeAvailable whether the sender's last read of the store succeeded
 * @param storeSteadyMillis time for which the store has answered the sender without interruption,
 *     in milliseconds; 0 if unknown
 * @param routesVersion version of the routing table that the sender applies; 0 if it has none
 * @param routesAgeMillis time since a read confirmed that version as the newest one, in
 *     milliseconds
 * @param lease controller lease, if the sender holds it
 * @param read changes of the endpoint list, if the sender has just read them from the store
 * @param quarantine what the sender knows of parts of prompts that crash endpoints
 * @param leaving endpoints that said that they are leaving; some of them if there are many
 * @param limits what the sender knows of limits of endpoints, and permits that it gives
 * @param load what the sender has in flight; empty in most messages
 */
public record PeerMessage(
    VmId vm,
    StoreEra storeEra,
    boolean storeAvailable,
    long storeSteadyMillis,
    long routesVersion,
    long routesAgeMillis,
    Optional<LeaseNotice> lease,
    Optional<SharedRead> read,
    QuarantineNotice quarantine,
    List<EndpointIncarnation> leaving,
    LimitNotice limits,
    LoadNotice load) {
  /** Makes an unmodifiable copy of the list. */
  public PeerMessage {
    leaving = List.copyOf(leaving);
  }
}
