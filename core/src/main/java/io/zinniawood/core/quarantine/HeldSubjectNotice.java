package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;

/**
 * Subject that a router holds back.
 *
 * @param subject part of a prompt, or request
 * @param crashes number of crashes that it is taken to have caused
 * @param failedTrials number of trial requests with it that crashed an endpoint as well
 * @param lastCrashAgeMillis time since the last of these crashes, in milliseconds
 */
public record HeldSubjectNotice(
    CrashSubject subject, int crashes, int failedTrials, long lastCrashAgeMillis) {}
