/** Tests of {@code io.zinniawood.core.relay}. */
package io.zinniawood.core.relay;
