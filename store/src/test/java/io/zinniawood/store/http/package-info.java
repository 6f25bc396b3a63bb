/** Tests of the HTTP clients of the platform services. */
package io.zinniawood.store.http;
