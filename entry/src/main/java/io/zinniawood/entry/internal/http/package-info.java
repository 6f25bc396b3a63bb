/** HTTP for callers: authentication, request parsing, responses and problem documents. */
package io.zinniawood.entry.internal.http;
