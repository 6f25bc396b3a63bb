/** Codec, handshake and connections of the wire protocol. Not for use by other modules. */
package io.zinniawood.wire.internal;
