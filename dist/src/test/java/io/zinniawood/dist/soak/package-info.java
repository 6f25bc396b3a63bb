/**
 * Randomized soak test of the relay: relay processes behind fault proxies receive signals, and the
 * store becomes unavailable or stops responding. The guarantees to callers are checked meanwhile.
 */
package io.zinniawood.dist.soak;
