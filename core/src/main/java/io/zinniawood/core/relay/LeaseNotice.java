package io.zinniawood.core.relay;

import io.zinniawood.core.id.FencingNumber;
import io.zinniawood.core.id.StoreVersion;

/**
 * Controller lease as its holder last wrote it.
 *
 * @param renewals number of renewals by this holder
 * @param rowVersion store version of the lease row
 */
public record LeaseNotice(FencingNumber fencingNumber, long renewals, StoreVersion rowVersion) {}
