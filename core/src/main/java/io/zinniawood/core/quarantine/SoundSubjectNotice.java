package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;

/**
 * Subject of which a router has seen a first event.
 *
 * @param subject part of a prompt, or request
 * @param ageMillis time since the last request with it received its first event, in milliseconds
 */
public record SoundSubjectNotice(CrashSubject subject, long ageMillis) {}
