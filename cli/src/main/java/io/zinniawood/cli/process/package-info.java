/** Builds entry and agent processes from their settings. */
package io.zinniawood.cli.process;
