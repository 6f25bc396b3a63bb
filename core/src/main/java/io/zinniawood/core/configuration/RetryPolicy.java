package io.zinniawood.core.configuration;

/**
 * Limits and delays of retries.
 *
 * @param maxAttempts maximum number of attempts of a request
 * @param budgetShare retry budget as a share of recent requests
 * @param budgetMinimum number of retries that each budget window allows in any case
 * @param baseDelayMillis delay before the first retry in milliseconds, doubled for each further one
 *     and jittered
 * @param maxDelayMillis maximum delay in milliseconds
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
