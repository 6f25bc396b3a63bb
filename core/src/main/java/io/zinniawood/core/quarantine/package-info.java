/**
 * Decides which requests, and which parts of prompts, crash the endpoints that begin to run them,
 * from the crashes and first events that several routers see. Requests with such a subject are not
 * sent until a single trial request shows that it is sound. Depends on ids only; uses no clock and
 * no network.
 */
package io.zinniawood.core.quarantine;
