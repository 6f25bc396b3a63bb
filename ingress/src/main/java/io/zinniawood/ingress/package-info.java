/**
 * Limits on the memory and the number of callers' connections, used by the relay and by the entry.
 * Depends on Netty only. All classes are confined to the event loop of their connections.
 */
package io.zinniawood.ingress;
