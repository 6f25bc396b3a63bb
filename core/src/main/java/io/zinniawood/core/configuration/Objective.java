package io.zinniawood.core.configuration;

import io.vavr.control.Option;

/**
 * Service-level objective of one workload.
 *
 * @param name name
 * @param target model or service
 * @param answeredShare share of requests that must be answered, below 1
 * @param firstTokenMillis time to the first token in milliseconds
 * @param tokenGapMillis time between tokens in milliseconds
 * @param latencyShare share of requests that must keep both times, below 1
 * @param maxUnknownPerDay at-most-once outcomes per day that may stay unknown
 * @param windowDays length of the budget window in days
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
