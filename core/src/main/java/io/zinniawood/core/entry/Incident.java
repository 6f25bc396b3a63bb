package io.zinniawood.core.entry;

/**
 * One incident with its cause and effects.
 *
 * @param kind kind
 * @param subject endpoint, request or file concerned
 * @param detail what happened, what the system did and what it could not do
 */
public record Incident(IncidentKind kind, String subject, String detail) {}
