package io.zinniawood.core.configuration;

/**
 * Retry policy.
 *
 * @param maxAttempts most attempts of a request
 * @param budgetShare retries as a share of recent requests
 * @param budgetMinimum retries that are always allowed in each budget window
 * @param baseDelayMillis first delay in milliseconds, doubled each time and jittered
 * @param maxDelayMillis longest delay in milliseconds
 * @param attemptTimeoutMillis time within which a plain service must answer an attempt, in
 *     milliseconds
 */
public record RetryPolicy(
    int maxAttempts,
    double budgetShare,
    int budgetMinimum,
    long baseDelayMillis,
    long maxDelayMillis,
    long attemptTimeoutMillis) {}
