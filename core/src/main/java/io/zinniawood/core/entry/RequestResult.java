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
 * @param request request
 * @param clientAccount client account
 * @param target model or service
 * @param outcome outcome
 * @param problem problem type, none if the request was answered
 * @param durationNanos time from arrival to the end in nanoseconds
 * @param firstTokenNanos time from arrival to the first token in nanoseconds
 * @param slowestGapNanos longest time between two tokens in nanoseconds
 * @param tokens tokens delivered
 * @param attempts attempts or epochs used
 * @param endpoint endpoint that answered last
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
