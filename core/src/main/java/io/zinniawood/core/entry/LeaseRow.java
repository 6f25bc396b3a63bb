package io.zinniawood.core.entry;

import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.VmId;

/**
 * Row of the controller lease in the table.
 *
 * @param holder entry that holds the lease
 * @param fencingNumber fencing number, raised each time another holder acquires the lease
 * @param renewals number of renewals by this holder
 */
public record LeaseRow(VmId holder, FencingNumber fencingNumber, long renewals) {}
