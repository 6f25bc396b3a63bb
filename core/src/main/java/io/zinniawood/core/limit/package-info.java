/**
 * Limits that endpoints name in their answers: the number of requests a second that an endpoint
 * takes from all processes together. The package owns what is known of each limit and the permits
 * of this process under it. It depends on ids and on the fleet's incarnations only, and uses no
 * clock, threads or external source of randomness.
 */
package io.zinniawood.core.limit;
