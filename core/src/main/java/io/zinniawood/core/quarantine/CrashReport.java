package io.zinniawood.core.quarantine;

import java.util.List;

/**
 * What a router knows of a crash.
 *
 * @param crash crash
 * @param ageMillis time since the crash, in milliseconds
 * @param candidates possible causes
 */
public record CrashReport(CrashId crash, long ageMillis, List<CrashCandidate> candidates) {
  /** Makes an unmodifiable copy of the list. */
  public CrashReport {
    candidates = List.copyOf(candidates);
  }
}
