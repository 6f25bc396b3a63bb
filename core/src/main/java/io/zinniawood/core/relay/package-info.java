/**
 * Decisions of the relay, the entry to endpoints that run a whole path of layers by themselves:
 * routing, keys, admission, path choice, retries, resumption of streams, repair of paths, placing
 * of layers and the controller lease. One reducer over all events; effects are data. The state is
 * confined to the reducer and is changed in place, as each of a thousand stream events a second
 * passes through it. No clock, thread, socket or random source.
 */
package io.zinniawood.core.relay;
