package io.zinniawood.core.fleet;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.StoreVersion;

/**
 * Entry that the platform's endpoint list no longer has.
 *
 * @param rowVersion store version at which the entry was removed
 */
public record RemovedEntry(EndpointId id, StoreVersion rowVersion) {}
