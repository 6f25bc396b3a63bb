/** Connections to agents, and configuration exchange with agents and other entries. */
package io.zinniawood.entry.internal.link;
