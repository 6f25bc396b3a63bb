package io.zinniawood.store;

import io.vavr.collection.Vector;
import io.zinniawood.core.model.VmEntry;

/**
 * One reading of the VM list.
 *
 * @param version version of the list, increasing
 * @param vms the VMs
 */
public record VmListing(long version, Vector<VmEntry> vms) {}
