package io.zinniawood.core.configuration;

import io.vavr.control.Option;

/**
 * Service-level objective of one workload.
 *
 * @param name unique name
 * @param target model or service that the objective applies to
 * @param answeredShare share of requests that must be answered, below 1
 * @param firstTokenMillis target time to the first token in milliseconds
 * @param tokenGapMillis target time between tokens in milliseconds
 * @param latencyShare share of requests that must meet both times, below 1
 * @param maxUnknownPerDay at-most-once requests per day whose outcome may stay unknown
 * @param windowDays length of the error budget window in days
 */
public record Objective(
    String name,
    String target,
    double answeredShare,
    Option<Long> firstTokenMillis,
    Option<Long> tokenGapMillis,
    double latencyShare,
    int maxUnknownPerDay,
    int windowDays) {}
