/**
 * Routing table of the relay: routes by host and path prefix, services, client accounts and limits
 * on requests. Depends on ids only; adapters build it from the platforms' configurations.
 */
package io.zinniawood.core.route;
