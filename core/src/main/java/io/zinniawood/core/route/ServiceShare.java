package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;

/**
 * Service of a route and its weight in the distribution of the route's requests.
 *
 * @param weight weight relative to the other services of the route, 0 or more
 */
public record ServiceShare(ServiceName service, int weight) {}
