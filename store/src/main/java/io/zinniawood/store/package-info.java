/** Interfaces to the platform services and their HTTP adapter. */
package io.zinniawood.store;
