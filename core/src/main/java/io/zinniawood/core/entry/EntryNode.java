package io.zinniawood.core.entry;

import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.VmId;

/**
 * Identity of an entry process.
 *
 * @param vm VM of the entry
 * @param dataCentre data centre of the VM
 */
public record EntryNode(VmId vm, DataCentreId dataCentre) {}
