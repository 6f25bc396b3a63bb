package io.zinniawood.core.pace;

import io.zinniawood.core.id.EndpointId;
import java.util.Set;

/**
 * Result of the pace limit for a path.
 *
 * @param grade whether the path may be used, and whether it is preferred
 * @param gapMillis expected time between events of the new stream
 * @param firstEventMillis expected time to its first event
 * @param gapInTime whether the gap is below the target of the new stream, which is protected then
 * @param contested endpoints that the path shares with streams which it would slow down too much
 */
public record PaceVerdict(
    Grade grade,
    double gapMillis,
    double firstEventMillis,
    boolean gapInTime,
    Set<EndpointId> contested) {
  /** Grades of a path, the best first. */
  public enum Grade {
    /** The new stream is expected to meet its targets. */
    IN_TIME,
    /** It is expected to be late, but delays no other stream too much. */
    LATE,
    /** The caller is expected to give up before the first event. */
    GIVEN_UP,
    /** A running stream would exceed its target. */
    SLOWS_OTHERS
  }

  /** Contains endpoints whose set cannot be changed. */
  public PaceVerdict {
    contested = Set.copyOf(contested);
  }

  /** Returns whether a new stream may use the path. */
  public boolean permitted() {
    return grade == Grade.IN_TIME || grade == Grade.LATE;
  }
}
