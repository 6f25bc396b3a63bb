package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.EndpointRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Watches streams. Where one is silent for longer than its load explains, the parts through which
 * nothing has advanced since are checked; an engine reports a dead part only seconds later.
 */
final class StreamMonitor {
  /** Shortest silence between two events that counts, in milliseconds. */
  private static final double MIN_GAP_SILENCE_MILLIS = 110;

  /** Shortest silence before the first event that counts, in milliseconds. */
  private static final double MIN_FIRST_EVENT_SILENCE_MILLIS = 350;

  /** Silence against the expected or usual gap of a stream. */
  private static final double SILENCE_FACTOR = 3.5;

  /**
   * Silence after which a stream whose parts all advance for others is taken up anew: its
   * connection may be silent for good. Callers leave after 2,000.
   */
  private static final double STALLED_CONNECTION_MILLIS = 1_200;

  /** Weight of the newest gap in the usual gap of a stream. */
  private static final double GAP_WEIGHT = 0.3;

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private StreamMonitor() {}

  static void streamAdvanced(RelayTurn turn, RelayEvent.StreamAdvanced event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    double gapMillis = (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
    double expected =
        open.firstEventRelayed ? open.expectedGapMillis : open.expectedFirstEventMillis;
    if (open.firstEventRelayed) {
      open.averageGapMillis += GAP_WEIGHT * (gapMillis - open.averageGapMillis);
    }
    if (open.path.isPresent()) {
      double ratio = expected > 0 ? gapMillis / expected : 1;
      for (EndpointRecord endpoint : open.endpointsInUse) {
        endpoint.progressed(turn.nowNanos, ratio);
      }
    }
    open.lastProgressNanos = turn.nowNanos;
    open.firstEventRelayed = true;
  }

  /** Looks for streams that should have advanced and has their parts checked. */
  static void checkSilence(RelayTurn turn) {
    if (EndpointHealthChecks.catchingUp(turn)) {
      return;
    }
    List<OpenRequest> lost = new ArrayList<>();
    for (OpenRequest open : turn.state.open.values()) {
      if (open.path.isEmpty()
          || open.repathPending
          || silentMillis(turn, open) < toleratedSilenceMillis(open)) {
        continue;
      }
      List<EndpointRecord> still = partsWithoutProgress(open);
      EndpointHealthChecks.checkEndpoints(turn, still);
      if (still.isEmpty() && silentMillis(turn, open) >= STALLED_CONNECTION_MILLIS) {
        lost.add(open);
      }
    }
    for (OpenRequest open : lost) {
      if (open.route.repeatable() && open.possibleRuns < open.route.maxAttempts()) {
        AttemptOutcomes.retry(turn, open, "silent-connection");
      }
    }
  }

  private static double silentMillis(RelayTurn turn, OpenRequest open) {
    return (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
  }

  /** Returns the silence of a stream that its load explains, in milliseconds. */
  private static double toleratedSilenceMillis(OpenRequest open) {
    return open.firstEventRelayed
        ? Math.max(
            MIN_GAP_SILENCE_MILLIS,
            SILENCE_FACTOR * Math.max(open.expectedGapMillis, open.averageGapMillis))
        : Math.max(MIN_FIRST_EVENT_SILENCE_MILLIS, SILENCE_FACTOR * open.expectedFirstEventMillis);
  }

  /**
   * Returns the parts of a path through which nothing has advanced since the stream fell silent.
   */
  private static List<EndpointRecord> partsWithoutProgress(OpenRequest open) {
    List<EndpointRecord> still = new ArrayList<>();
    for (EndpointRecord endpoint : open.endpointsInUse) {
      if (endpoint.lastProgressNanos() <= open.lastProgressNanos) {
        still.add(endpoint);
      }
    }
    return still;
  }
}
