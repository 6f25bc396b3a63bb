package io.zinniawood.core.model;

import io.zinniawood.core.id.ClientAccountId;
import io.zinniawood.core.id.IdempotencyKey;
import io.zinniawood.core.id.ServiceName;

/**
 * Scope of an idempotency key: one client account and one service.
 *
 * @param clientAccount client account of the caller
 * @param service called service
 * @param key key that the caller sent
 */
public record ClaimKey(ClientAccountId clientAccount, ServiceName service, IdempotencyKey key) {}
