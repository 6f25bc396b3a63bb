package io.zinniawood.core.agent;

import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;

/**
 * Step of one session for the engine.
 *
 * @param input input of the stage
 * @param maxTokens maximum number of tokens of the answer
 */
public record StageStep(
    SessionId session, int position, Payload input, int maxTokens, Priority priority) {}
