/** Cluster in one JVM on loopback, for the demonstration, tests and benchmarks. */
package io.zinniawood.cli.local;
