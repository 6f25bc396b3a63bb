/** Access to the platform's table: release of claims and the controller lease. */
package io.zinniawood.entry.internal.store;
