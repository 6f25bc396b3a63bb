package io.zinniawood.core.model;

import io.vavr.collection.Vector;

/**
 * Call of a plain service.
 *
 * @param method HTTP method
 * @param pathAndQuery path below the service, with its query
 * @param headers header fields to pass on
 * @param body request body
 */
public record ServiceCall(
    String method, String pathAndQuery, Vector<HttpHeader> headers, Payload body) {}
