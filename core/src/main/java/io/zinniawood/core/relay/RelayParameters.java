package io.zinniawood.core.relay;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;

/**
 * Start parameters of a relay process.
 *
 * @param vm VM on which the relay runs
 * @param dataCentre data centre of that VM
 * @param firstStart whether the whole system starts for the first time
 * @param seed seed of the relay's random generator
 */
public record RelayParameters(VmId vm, DataCentreId dataCentre, boolean firstStart, long seed) {}
