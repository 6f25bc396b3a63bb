package io.zinniawood.store;

import io.zinniawood.core.model.Payload;

/**
 * Versioned row of the table.
 *
 * @param version version, at least 1 and incremented by each write
 */
public record TableRow(String key, long version, Payload value) {}
