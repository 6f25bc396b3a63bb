/** Tests of the relay's HTTP client for control calls. */
package io.zinniawood.relay;
