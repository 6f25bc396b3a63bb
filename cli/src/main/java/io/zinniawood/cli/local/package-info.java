/** A whole system in one JVM on loopback, for the demonstration, tests and measurements. */
package io.zinniawood.cli.local;
