package io.zinniawood.store;

import io.vavr.collection.Vector;
import io.zinniawood.core.model.VmEntry;

/**
 * Versioned content of the VM list.
 *
 * @param version version of the list, which increases with each change
 */
public record VmListing(long version, Vector<VmEntry> vms) {}
