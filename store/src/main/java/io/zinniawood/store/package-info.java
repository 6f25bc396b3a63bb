/** Interfaces of the platform services: table, object store, VM list and weight store. */
package io.zinniawood.store;
