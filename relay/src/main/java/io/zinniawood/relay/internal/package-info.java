/**
 * Netty handlers, connection pool and reducer runtime of the relay; used by {@code
 * io.zinniawood.relay} only.
 */
package io.zinniawood.relay.internal;
