/** Tests of connections over loopback. */
package io.zinniawood.wire;
