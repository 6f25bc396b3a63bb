package io.zinniawood.core.model;

import io.vavr.control.Option;
import io.zinniawood.core.id.AttemptId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.Fence;
import io.zinniawood.core.id.Incarnation;

/**
 * Table row that claims an idempotency key.
 *
 * @param owner endpoint that claimed the key
 * @param incarnation incarnation of the owner's agent
 * @param attempt attempt that claimed the key; identifies the writer when the store's response is
 *     lost
 * @param requestDigest SHA-256 of method, path and body in hexadecimal
 * @param state state of the claim
 * @param fence fence that the next attempt must carry if the state is released
 * @param answer answer of a finished call
 */
public record ClaimRow(
    EndpointId owner,
    Incarnation incarnation,
    AttemptId attempt,
    String requestDigest,
    ClaimState state,
    Fence fence,
    Option<ServiceAnswer> answer) {}
