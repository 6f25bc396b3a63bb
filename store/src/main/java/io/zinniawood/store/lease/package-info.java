/** Key and JSON form of the controller lease; read by agents, read and written by entries. */
package io.zinniawood.store.lease;
