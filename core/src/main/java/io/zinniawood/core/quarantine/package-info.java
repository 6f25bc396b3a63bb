/**
 * Decides which parts of prompts crash the endpoints that begin to answer on them, from the crashes
 * and first events that several routers see. Requests with such a part are not sent until a single
 * trial request shows that the part is sound. Depends on ids only; uses no clock and no network.
 */
package io.zinniawood.core.quarantine;
