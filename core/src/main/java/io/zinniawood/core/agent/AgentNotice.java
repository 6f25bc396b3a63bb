package io.zinniawood.core.agent;

/**
 * Event that the agent writes to the structured log.
 *
 * @param kind category of the event
 * @param subject request, session or peer concerned
 * @param detail human-readable explanation
 */
public record AgentNotice(NoticeKind kind, String subject, String detail) {}
