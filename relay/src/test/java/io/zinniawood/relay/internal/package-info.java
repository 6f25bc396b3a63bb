/** Tests of {@code io.zinniawood.relay.internal}. */
package io.zinniawood.relay.internal;
