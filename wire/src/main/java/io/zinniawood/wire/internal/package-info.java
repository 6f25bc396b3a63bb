/** Codec, handshake and connections of the wire protocol. Internal to this module. */
package io.zinniawood.wire.internal;
