package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;

/**
 * Part of the prompt of a request that had received no event when its endpoint crashed.
 *
 * @param part part that may have caused the crash
 * @param waitedMillis time since the request was sent to the endpoint, in milliseconds
 * @param position position of the part in the prompt, from 0
 */
public record CrashCandidate(PromptPartId part, long waitedMillis, int position) {}
