package io.zinniawood.wire;

/**
 * Failure to open a connection or a listening port.
 *
 * @param detail human-readable description
 */
public record WireError(String detail) {}
