/** Tests of the JSON form of the controller lease. */
package io.zinniawood.store.lease;
