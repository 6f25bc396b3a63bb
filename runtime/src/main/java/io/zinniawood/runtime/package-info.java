/** Event loop that drives a reducer on one thread. Depends on core. */
package io.zinniawood.runtime;
