/** Reads log lines of relays and tells the story of one request. */
package io.zinniawood.cli.explain;
