/** Tests of the codec and the liveness probe. */
package io.zinniawood.wire.internal;
