/** Tests of the bounds on callers. */
package io.zinniawood.entry.internal.http;
