package io.zinniawood.core.entry;

/**
 * Incident for reports and logs.
 *
 * @param subject endpoint, request or file concerned
 * @param detail what happened, what the system did and what it could not do
 */
public record Incident(IncidentKind kind, String subject, String detail) {}
