package io.zinniawood.store;

import io.zinniawood.core.model.Payload;

/**
 * Object of the object store.
 *
 * @param name name of the object
 * @param version opaque version
 * @param content content
 */
public record StoredObject(String name, String version, Payload content) {}
