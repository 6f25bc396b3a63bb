/** Builds the timeline of one request from log lines of relays. */
package io.zinniawood.cli.explain;
