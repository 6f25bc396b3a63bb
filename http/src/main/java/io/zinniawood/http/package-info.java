/** HTTP client that sends each request at most once, and checked decoding of responses. */
package io.zinniawood.http;
