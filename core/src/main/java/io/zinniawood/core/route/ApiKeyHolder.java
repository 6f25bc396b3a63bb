package io.zinniawood.core.route;

import io.zinniawood.core.id.ClientAccountId;

/**
 * Holder of an API key.
 *
 * @param account the client account
 * @param priority rank of the account, 0 is the highest; negative if the route's rank holds
 */
public record ApiKeyHolder(ClientAccountId account, int priority) {
  /** Priority of an account that has none of its own. */
  public static final int INHERIT_ROUTE_PRIORITY = -1;
}
