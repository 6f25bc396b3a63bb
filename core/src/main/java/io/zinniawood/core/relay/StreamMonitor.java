package io.zinniawood.core.relay;

import io.zinniawood.core.fleet.TrackedEndpoint;
import io.zinniawood.core.id.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Detects stalled streams. If a stream receives no event for longer than its load explains, the
 * endpoints on its path through which no request has advanced since are checked. An engine reports
 * a dead endpoint on the path only seconds later.
 */
final class StreamMonitor {
  /** Minimum time without an event for a stream to count as stalled. */
  private static final double MIN_STALL_THRESHOLD_MILLIS = 110;

  /** Minimum time without a first event for a stream to count as stalled. */
  private static final double MIN_FIRST_EVENT_STALL_THRESHOLD_MILLIS = 350;

  /** Tolerated time without an event relative to the expected or average gap. */
  private static final double STALL_THRESHOLD_FACTOR = 3.5;

  /**
   * Time without an event after which a stream is retried although other requests advance through
   * all endpoints on its path: its connection may have failed without notice. Callers give up after
   * 2,000 ms.
   */
  private static final double STALLED_CONNECTION_MILLIS = 1_200;

  /** Weight of the newest gap in the moving average of a stream's gaps. */
  private static final double GAP_WEIGHT = 0.3;

  /** Attempts of a service in one tick for which no replacement was found, before it stops. */
  private static final int MAX_MISSES_PER_TICK = 2;

  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private StreamMonitor() {}

  static void streamAdvanced(RelayTurn turn, RelayEvent.StreamAdvanced event) {
    OpenRequest open = turn.state.open.get(event.id());
    if (open == null || open.attempt != event.attempt()) {
      return;
    }
    // An attempt that the relay itself ends reports no position.
    open.lastEventId = Math.max(open.lastEventId, event.lastEventId());
    double gapMillis = (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
    double expected =
        open.firstEventRelayed ? open.expectedGapMillis : open.expectedFirstEventMillis;
    if (open.firstEventRelayed) {
      open.averageGapMillis += GAP_WEIGHT * (gapMillis - open.averageGapMillis);
    }
    if (open.path.isPresent()) {
      double ratio = expected > 0 ? gapMillis / expected : 1;
      for (TrackedEndpoint endpoint : open.endpointsInUse) {
        endpoint.recordProgress(turn.nowNanos, ratio);
      }
    }
    open.lastProgressNanos = turn.nowNanos;
    EndpointUsage.promptRead(open);
    open.headRelayed = true;
    if (!open.firstEventRelayed) {
      open.firstEventRelayed = true;
      CrashWatch.answerBegun(turn, open);
    }
  }

  /**
   * Checks the endpoints of stalled streams and retries streams whose endpoints all make progress.
   */
  static void checkStalledStreams(RelayTurn turn) {
    if (EndpointHealthChecks.catchingUp(turn)) {
      return;
    }
    List<OpenRequest> silentEndpoints = new ArrayList<>();
    List<OpenRequest> removedEndpoints = new ArrayList<>();
    List<OpenRequest> stalledConnections = new ArrayList<>();
    for (OpenRequest open : turn.state.open.values()) {
      if (open.path.isEmpty()
          || open.repathPending
          || open.endUnconfirmed()
          || millisSinceProgress(turn, open) < stallThresholdMillis(open)) {
        continue;
      }
      List<TrackedEndpoint> suspects = endpointsWithoutProgress(open);
      EndpointHealthChecks.checkEndpoints(turn, suspects);
      boolean stalledForLong = millisSinceProgress(turn, open) >= STALLED_CONNECTION_MILLIS;
      if (firstEndpointSilent(turn, open)) {
        silentEndpoints.add(open);
      } else if (stalledForLong && firstEndpointRemoved(turn, open)) {
        removedEndpoints.add(open);
      } else if (stalledForLong && suspects.isEmpty()) {
        stalledConnections.add(open);
      }
    }
    replaceAttempts(turn, silentEndpoints, PathRepair.FIRST_ENDPOINT_SILENT);
    replaceAttempts(turn, stalledConnections, "silent-connection");
    for (OpenRequest open : removedEndpoints) {
      if (AttemptOutcomes.mayRunAgain(turn, open)) {
        AttemptOutcomes.retry(turn, open, "removed-endpoint-silent");
      }
    }
  }

  private static boolean firstEndpointRemoved(RelayTurn turn, OpenRequest open) {
    return open.target.isPresent() && open.target.flatMap(turn.state.fleet::find).isEmpty();
  }

  private static boolean firstEndpointSilent(RelayTurn turn, OpenRequest open) {
    return open.target
        .flatMap(turn.state.fleet::find)
        .filter(endpoint -> endpoint.unresponsiveAt(turn.nowNanos))
        .isPresent();
  }

  private static void replaceAttempts(RelayTurn turn, List<OpenRequest> stalled, String reason) {
    Map<ServiceName, Integer> misses = new HashMap<>();
    for (OpenRequest open : stalled) {
      FailureContainment.run(
          turn,
          "stream-monitor",
          Optional.of(open.id),
          () -> {
            if (misses.getOrDefault(open.service, 0) < MAX_MISSES_PER_TICK
                && AttemptOutcomes.mayRunAgain(turn, open)
                && !AttemptOutcomes.replace(turn, open, reason)) {
              misses.merge(open.service, 1, Integer::sum);
            }
          });
    }
  }

  private static double millisSinceProgress(RelayTurn turn, OpenRequest open) {
    return (turn.nowNanos - open.lastProgressNanos) / NANOS_PER_MILLI;
  }

  /** Returns the time without an event that the load explains, in milliseconds. */
  private static double stallThresholdMillis(OpenRequest open) {
    return open.firstEventRelayed
        ? Math.max(
            MIN_STALL_THRESHOLD_MILLIS,
            STALL_THRESHOLD_FACTOR * Math.max(open.expectedGapMillis, open.averageGapMillis))
        : Math.max(
            MIN_FIRST_EVENT_STALL_THRESHOLD_MILLIS,
            STALL_THRESHOLD_FACTOR * open.expectedFirstEventMillis);
  }

  /**
   * Returns the endpoints on the path through which no request has advanced since the stream's last
   * event.
   */
  private static List<TrackedEndpoint> endpointsWithoutProgress(OpenRequest open) {
    List<TrackedEndpoint> endpoints = new ArrayList<>();
    for (TrackedEndpoint endpoint : open.endpointsInUse) {
      if (endpoint.lastProgressNanos() <= open.lastProgressNanos) {
        endpoints.add(endpoint);
      }
    }
    return endpoints;
  }
}
