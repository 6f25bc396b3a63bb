package io.zinniawood.core.relay;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;
import io.zinniawood.core.model.NodeAddress;
import java.util.Optional;

/**
 * Start parameters of a relay process.
 *
 * @param vm VM on which the relay runs
 * @param dataCentre data centre of that VM
 * @param peerAddress address for messages of other relays; empty if the relay exchanges none
 * @param firstStart whether the whole system starts for the first time
 * @param gracePeriodMillis time from the termination request until the platform kills the process,
 *     in milliseconds
 * @param scheduling modes of the decisions on scarce capacity
 * @param seed seed of the relay's random generator
 */
public record RelayParameters(
    VmId vm,
    DataCentreId dataCentre,
    Optional<NodeAddress> peerAddress,
    boolean firstStart,
    long gracePeriodMillis,
    SchedulingSettings scheduling,
    long seed) {}
