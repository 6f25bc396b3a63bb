/** HTTP routes for operators and the load balancer, and the metrics of the entry. */
package io.zinniawood.entry.internal.admin;
