/**
 * Routing table of the relay: routes by host and path prefix, services, client accounts and the
 * limits of callers. Depends on ids only; adapters translate foreign configurations into it.
 */
package io.zinniawood.core.route;
