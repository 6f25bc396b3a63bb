/** Tests of the controller lease codec. */
package io.zinniawood.store.lease;
