/** Tests of {@code io.zinniawood.core.entry.routing}. */
package io.zinniawood.core.entry.routing;
