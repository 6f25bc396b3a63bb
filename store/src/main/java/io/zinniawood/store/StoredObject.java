package io.zinniawood.store;

import io.zinniawood.core.model.Payload;

/**
 * Object of the object store with its content.
 *
 * @param version opaque version that changes with each write
 */
public record StoredObject(String name, String version, Payload content) {}
