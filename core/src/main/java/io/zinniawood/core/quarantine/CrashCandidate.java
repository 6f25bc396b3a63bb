package io.zinniawood.core.quarantine;

import io.zinniawood.core.id.CrashSubject;
import io.zinniawood.core.id.RequestFingerprint;
import java.util.Optional;

/**
 * Possible cause of a crash: a request that had received nothing when its endpoint crashed, or a
 * part of its prompt.
 *
 * @param subject what may have caused the crash
 * @param waitedMillis time since the request was sent to the endpoint, in milliseconds
 * @param startOrder order in which the endpoint begins to run its requests
 * @param position position of the part in the prompt, from 0; that of a request is behind its parts
 * @param request request with the part that had waited longest; empty if unknown
 */
public record CrashCandidate(
    CrashSubject subject,
    long waitedMillis,
    StartOrder startOrder,
    int position,
    Optional<RequestFingerprint> request) {}
