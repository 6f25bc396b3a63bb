package io.zinniawood.store;

import io.zinniawood.core.model.Payload;

/**
 * Row of the table.
 *
 * @param key key of the row
 * @param version version, raised by each write, at least 1
 * @param value value of the row
 */
public record TableRow(String key, long version, Payload value) {}
