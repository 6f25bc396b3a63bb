package io.zinniawood.core.agent;

/**
 * Notice for the structured log.
 *
 * @param kind kind
 * @param subject request, session or peer concerned
 * @param detail explanation for a person
 */
public record AgentNotice(NoticeKind kind, String subject, String detail) {}
