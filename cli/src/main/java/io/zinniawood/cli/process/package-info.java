/** Builds entry, agent and relay processes from their settings. */
package io.zinniawood.cli.process;
