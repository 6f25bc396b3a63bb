/** Netty handlers and tables of the relay's shell; used by {@code io.zinniawood.relay} only. */
package io.zinniawood.relay.internal;
