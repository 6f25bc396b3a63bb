/** Fault-injecting TCP proxy for tests. */
package io.zinniawood.standin.proxy;
