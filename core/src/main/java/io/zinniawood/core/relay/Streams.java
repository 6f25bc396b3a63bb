package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Watches streams. Where one is silent for longer than its load explains, the parts through which
 * nothing has advanced since are checked; an engine reports a dead part only seconds later.
 */
final class Streams {
  /** Shortest silence between two events that counts, in milliseconds. */
  private static final double MIN_GAP_MILLIS = 110;

  /** Shortest silence before the first event that counts, in milliseconds. */
  private static final double MIN_FIRST_MILLIS = 350;

  /** Silence against the expected or usual gap of a stream. */
  private static final double SILENCE_FACTOR = 3.5;

  /**
   * Silence after which a stream whose parts all advance for others is taken up anew: its
   * connection may be silent for good. Callers leave after 2,000.
   */
  private static final double LOST_MILLIS = 1_200;

  /** Weight of the newest gap in the usual gap of a stream. */
  private static final double GAP_WEIGHT = 0.3;

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private Streams() {}

  static void advanced(RelayTurn turn, RelayEvent.StreamAdvanced event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    double gapMillis = (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
    double expected = open.eventSeen ? open.expectedGapMillis : open.expectedFirstMillis;
    if (open.eventSeen) {
      open.usualGapMillis += GAP_WEIGHT * (gapMillis - open.usualGapMillis);
    }
    if (open.path.isPresent()) {
      double ratio = expected > 0 ? gapMillis / expected : 1;
      for (TrackedEndpoint endpoint : open.inUse) {
        endpoint.recordProgress(turn.nowNanos, ratio);
      }
    }
    open.lastProgressNanos = turn.nowNanos;
    open.eventSeen = true;
  }

  /** Looks for streams that should have advanced and has their parts checked. */
  static void checkSilence(RelayTurn turn) {
    if (EndpointChecks.catchingUp(turn)) {
      return;
    }
    List<OpenRequest> lost = new ArrayList<>();
    for (OpenRequest open : turn.state.open.values()) {
      if (open.path.isEmpty() || open.repathOpen || silentMillis(turn, open) < tolerated(open)) {
        continue;
      }
      List<TrackedEndpoint> still = stillParts(open);
      EndpointChecks.suspectParts(turn, still);
      if (still.isEmpty() && silentMillis(turn, open) >= LOST_MILLIS) {
        lost.add(open);
      }
    }
    for (OpenRequest open : lost) {
      if (open.route.retryable() && open.possibleRuns < open.route.maxAttempts()) {
        Outcomes.retry(turn, open, "silent-connection");
      }
    }
  }

  private static double silentMillis(RelayTurn turn, OpenRequest open) {
    return (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
  }

  /** Returns the silence of a stream that its load explains, in milliseconds. */
  private static double tolerated(OpenRequest open) {
    return open.eventSeen
        ? Math.max(
            MIN_GAP_MILLIS, SILENCE_FACTOR * Math.max(open.expectedGapMillis, open.usualGapMillis))
        : Math.max(MIN_FIRST_MILLIS, SILENCE_FACTOR * open.expectedFirstMillis);
  }

  /**
   * Returns the parts of a path through which nothing has advanced since the stream fell silent.
   */
  private static List<TrackedEndpoint> stillParts(OpenRequest open) {
    List<TrackedEndpoint> still = new ArrayList<>();
    for (TrackedEndpoint endpoint : open.inUse) {
      if (endpoint.lastProgressNanos() <= open.lastProgressNanos) {
        still.add(endpoint);
      }
    }
    return still;
  }
}
