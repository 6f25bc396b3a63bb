package io.zinniawood.core.route;

import io.zinniawood.core.id.ServiceName;

/**
 * Share of a route's requests that one service gets.
 *
 * @param service the service
 * @param weight weight against the other services of the route, 0 or more
 */
public record ServiceShare(ServiceName service, int weight) {}
