/** HTTP calls that are sent at most once, and checked reading of their responses. */
package io.zinniawood.http;
