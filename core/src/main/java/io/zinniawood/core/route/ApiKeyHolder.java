package io.zinniawood.core.route;

import io.zinniawood.core.id.ClientAccountId;

/**
 * Client account that an API key belongs to.
 *
 * @param priority priority of the account, 0 is the highest; negative ({@link
 *     #INHERIT_ROUTE_PRIORITY}) if the priority of the route applies
 */
public record ApiKeyHolder(ClientAccountId account, int priority) {
  /** Value for accounts without a priority of their own: the priority of the route applies. */
  public static final int INHERIT_ROUTE_PRIORITY = -1;
}
