package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.PromptPartId;

/**
 * Part of which a router has seen a first event.
 *
 * @param part part
 * @param ageMillis time since the last request with it received its first event, in milliseconds
 */
public record SoundPartNotice(PromptPartId part, long ageMillis) {}
