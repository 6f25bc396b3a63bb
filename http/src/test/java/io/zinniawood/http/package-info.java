/** Tests of the decoding of HTTP responses. */
package io.zinniawood.http;
