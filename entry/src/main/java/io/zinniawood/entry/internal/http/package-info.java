/** HTTP server for callers: limits, authentication, request parsing and responses. */
package io.zinniawood.entry.internal.http;
