/** End-to-end tests with entries and agents as real processes and stand-ins in the test's JVM. */
package io.zinniawood.dist;
