package io.zinniawood.relay.internal;

/**
 * Answer that has ended but is not known to be whole. Exactly one of its actions must be run.
 *
 * @param take treats the answer as complete
 * @param drop releases its content
 */
public record UnconfirmedAnswer(Runnable take, Runnable drop) {}
