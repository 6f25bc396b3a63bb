/**
 * Row key and JSON codec of the controller lease. Entries read and write the lease; agents read it.
 */
package io.zinniawood.store.lease;
