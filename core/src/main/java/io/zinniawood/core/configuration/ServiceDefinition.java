package io.zinniawood.core.configuration;

import io.vavr.collection.Set;
import io.zinniawood.core.id.ServiceName;

/**
 * Plain service that the system routes to.
 *
 * @param name unique name
 * @param idempotentMethods HTTP methods that may be executed more than once
 * @param defaultDeadlineMillis deadline of a call that specifies none, in milliseconds
 * @param keyRetentionMillis time for which claims of idempotency keys are kept, in milliseconds
 */
public record ServiceDefinition(
    ServiceName name,
    Set<String> idempotentMethods,
    long defaultDeadlineMillis,
    long keyRetentionMillis) {}
