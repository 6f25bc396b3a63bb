/** Choice of endpoints for chains and service calls: values and rules, without effects. */
package io.zinniawood.core.entry.routing;
