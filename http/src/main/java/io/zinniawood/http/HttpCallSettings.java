package io.zinniawood.http;

/**
 * Settings of {@link HttpCalls}.
 *
 * @param connectTimeoutMillis connect timeout in milliseconds
 * @param maxResponseBytes maximum size of a response body; a larger one is an error
 * @param maxConcurrentCalls maximum number of calls in progress; further calls are queued, each for
 *     at most its timeout
 */
public record HttpCallSettings(
    long connectTimeoutMillis, int maxResponseBytes, int maxConcurrentCalls) {}
