package io.zinniawood.core.entry;

import io.vavr.control.Option;
import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.id.RequestId;
import io.zinniawood.core.model.Outcome;
import io.zinniawood.core.model.ProblemType;

/**
 * Result of one request.
 *
 * @param target name of the model or service
 * @param problem problem type, none if the request completed or its caller disconnected
 * @param durationNanos time from arrival to the end in nanoseconds
 * @param firstTokenNanos time from arrival to the first token in nanoseconds
 * @param slowestGapNanos longest time between two tokens in nanoseconds
 * @param tokens number of tokens delivered to the caller
 * @param attempts attempts of a service call; for a model request, epochs of its last session plus
 *     the number of earlier sessions
 * @param endpoint endpoint of the answer or the current attempt; for a model request, of the last
 *     stage of the chain
 */
public record RequestResult(
    RequestId request,
    ClientAccountId clientAccount,
    String target,
    Outcome outcome,
    Option<ProblemType> problem,
    long durationNanos,
    Option<Long> firstTokenNanos,
    Option<Long> slowestGapNanos,
    int tokens,
    int attempts,
    Option<EndpointId> endpoint) {}
