/**
 * Randomized soak of the relay: real processes behind fault proxies, signals to the processes, a
 * store that is away or silent. The promises to callers are checked while it runs.
 */
package io.zinniawood.dist.soak;
