/** HTTP adapter of the platform interfaces. */
package io.zinniawood.store.http;
