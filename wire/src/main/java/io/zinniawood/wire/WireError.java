package io.zinniawood.wire;

/**
 * Failure to open a connection or a listening port.
 *
 * @param detail explanation for a person
 */
public record WireError(String detail) {}
