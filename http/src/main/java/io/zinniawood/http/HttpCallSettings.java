package io.zinniawood.http;

/**
 * Settings of {@link HttpCalls}.
 *
 * @param connectTimeoutMillis time to connect in milliseconds
 * @param maxResponseBytes most bytes of a response body; a longer one is an error
 * @param maxConcurrentCalls most calls in progress; a further call waits for at most its timeout
 *     before it is sent
 */
public record HttpCallSettings(
    long connectTimeoutMillis, int maxResponseBytes, int maxConcurrentCalls) {}
