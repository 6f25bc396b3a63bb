/** Messages and transport between the system's own processes. */
package io.zinniawood.wire;
