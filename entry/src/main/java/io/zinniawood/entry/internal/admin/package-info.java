/** HTTP for operators and the balancer, and the entry's metrics. */
package io.zinniawood.entry.internal.admin;
