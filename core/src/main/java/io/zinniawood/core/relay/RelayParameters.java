package io.zinniawood.core.relay;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;

/**
 * What a relay knows of itself.
 *
 * @param vm its VM
 * @param dataCentre its data centre
 * @param firstStart whether the whole system starts for the first time
 * @param seed seed of all random choices
 */
public record RelayParameters(VmId vm, DataCentreId dataCentre, boolean firstStart, long seed) {}
