package io.zinniawood.relay;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * HTTP response to a control call.
 *
 * @param status HTTP status
 * @param headers headers of the response
 * @param body body; empty if there is none
 */
public record ControlResponse(int status, HttpHeaders headers, byte[] body) {}
