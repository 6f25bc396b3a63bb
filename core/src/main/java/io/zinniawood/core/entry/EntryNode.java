package io.zinniawood.core.entry;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;

/**
 * Identity of an entry process.
 *
 * @param vm VM on which the entry runs
 * @param dataCentre data centre of that VM
 */
public record EntryNode(VmId vm, DataCentreId dataCentre) {}
