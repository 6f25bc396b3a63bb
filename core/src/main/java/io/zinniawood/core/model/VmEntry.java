package io.zinniawood.core.model;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.PoolId;
import io.zinniawood.core.id.VmId;

/**
 * One VM of the platform's VM list, which may be out of date.
 *
 * @param vm the VM; for an endpoint VM its text equals the endpoint's id
 * @param role role of the VM
 * @param state state of the VM
 * @param dataCentre data centre of the VM
 * @param pool pool of the VM
 * @param address address of the system's process on the VM
 */
public record VmEntry(
    VmId vm,
    VmRole role,
    VmState state,
    DataCentreId dataCentre,
    PoolId pool,
    NodeAddress address) {}
