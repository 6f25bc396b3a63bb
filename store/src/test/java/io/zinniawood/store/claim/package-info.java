/** Tests of the claim row codec. */
package io.zinniawood.store.claim;
