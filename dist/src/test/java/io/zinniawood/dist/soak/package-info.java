/**
 * Randomized soak test of the relay: relay processes behind fault proxies receive signals, and the
 * store becomes unavailable or stops responding. Endpoints in processes of their own repeat
 * answers, break them off or are killed within them, and record what they sent. The guarantees to
 * callers are checked meanwhile.
 */
package io.zinniawood.dist.soak;
