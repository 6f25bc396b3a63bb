/** Row keys and JSON codec of the idempotency key claims that entries and agents share. */
package io.zinniawood.store.claim;
