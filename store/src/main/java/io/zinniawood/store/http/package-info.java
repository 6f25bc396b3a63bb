/** HTTP clients of the platform services, with a circuit breaker for each service. */
package io.zinniawood.store.http;
