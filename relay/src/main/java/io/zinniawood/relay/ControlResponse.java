package io.zinniawood.relay;

/**
 * Answer to a control call.
 *
 * @param status HTTP status
 * @param body body
 */
public record ControlResponse(int status, byte[] body) {}
