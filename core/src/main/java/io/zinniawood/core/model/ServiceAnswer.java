package io.zinniawood.core.model;

import io.vavr.collection.Vector;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param headers header fields to pass on
 * @param body response body
 */
public record ServiceAnswer(int status, Vector<HttpHeader> headers, Payload body) {}
