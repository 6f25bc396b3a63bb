package io.zinniawood.core.pace;

/**
 * Load that a new stream brings to each endpoint on its path, and what its caller needs.
 *
 * @param roomRequests requests that must have room on the path: the new one, and those that other
 *     relays may send there before this relay learns of them; see {@link PaceTurn}
 * @param tokens tokens that the stream is expected to occupy
 * @param promptTokens length of its prompt in tokens
 * @param targetGapMillis target of its route for the longest pause between events; 0 if none
 * @param targetFirstEventMillis time left until the target for its first event
 * @param maxFirstEventMillis time left until its caller gives up without an event
 */
public record PaceDemand(
    double roomRequests,
    double tokens,
    int promptTokens,
    double targetGapMillis,
    double targetFirstEventMillis,
    double maxFirstEventMillis) {}
