/** Key and JSON form of the table rows that claim idempotency keys; used by entries and agents. */
package io.zinniawood.store.claim;
