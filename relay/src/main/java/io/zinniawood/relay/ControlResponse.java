package io.zinniawood.relay;

/**
 * HTTP response to a control call.
 *
 * @param status HTTP status
 * @param body body; empty if there is none
 */
public record ControlResponse(int status, byte[] body) {}
