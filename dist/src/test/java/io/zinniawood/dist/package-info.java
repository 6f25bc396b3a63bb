/**
 * End-to-end tests and benchmarks: entries, agents and relays run as processes of the packaged
 * executable; their platforms, engines and services are stand-ins in the test's JVM.
 */
package io.zinniawood.dist;
