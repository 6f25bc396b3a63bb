/**
 * Decision logic of the relay, which forwards requests to endpoints that run a whole path of layers
 * by themselves: routing, API keys, admission, path selection, retries, resumption and rerouting of
 * streams, layer placement and the controller lease.
 *
 * <p>A single reducer handles all events and returns effects as data. It changes the state in
 * place, because about a thousand stream events a second pass through it; no other code may change
 * the state. The package uses no clock, threads, sockets or external source of randomness.
 */
package io.zinniawood.core.relay;
