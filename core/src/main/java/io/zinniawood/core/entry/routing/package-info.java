/** Selection of endpoints for chains and service calls: immutable values and pure functions. */
package io.zinniawood.core.entry.routing;
