/** Tests of HTTP calls and of the reading of their responses. */
package io.zinniawood.http;
