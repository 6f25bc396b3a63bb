/** Tests of the limits of the callers' HTTP server. */
package io.zinniawood.entry.internal.http;
