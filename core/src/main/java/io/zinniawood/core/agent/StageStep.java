package io.zinniawood.core.agent;

import io.zinniawood.core.id.SessionId;
import io.zinniawood.core.model.Payload;
import io.zinniawood.core.model.Priority;

/**
 * One step for the engine.
 *
 * @param session session
 * @param position position
 * @param input input of the stage
 * @param maxTokens most tokens of the answer
 * @param priority priority
 */
public record StageStep(
    SessionId session, int position, Payload input, int maxTokens, Priority priority) {}
