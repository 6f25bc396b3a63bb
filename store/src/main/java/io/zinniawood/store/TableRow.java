package io.zinniawood.store;

import io.zinniawood.core.model.Payload;

/**
 * Versioned row of the table.
 *
 * @param version version, rises with each write and with each restore of the store; see {@link
 *     io.zinniawood.core.model.PackedStoreVersion}
 */
public record TableRow(String key, long version, Payload value) {}
