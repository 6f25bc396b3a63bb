/** Tests of the routing rules. */
package io.zinniawood.core.entry.routing;
