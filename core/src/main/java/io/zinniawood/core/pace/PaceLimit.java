package io.zinniawood.core.pace;

import io.zinniawood.core.id.EndpointId;
import io.zinniawood.core.pace.PaceVerdict.Grade;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether a path may take one more stream. It may not if a stream that runs on one of its
 * endpoints would exceed its target for the pause between events, or if the caller is expected to
 * give up before the first event. A stream that is only somewhat late is still worth sending.
 *
 * <p>Designed for fleets at up to three times the load that they write in time, with accelerators
 * whose steps differ by a factor of ten, and up to 32 relays with 75 streams each. It holds the
 * state of one selection.
 */
public final class PaceLimit {
  /** Share of a target gap that is left free, as gaps vary around the expected one. */
  private static final double HEADROOM_SHARE = 0.1;

  /** Expected requests of other relays from which their streams are protected as well. */
  private static final double MIN_OTHERS_REQUESTS = 0.5;

  private final PaceModel model;
  private final double shortestTargetGapMillis;
  private final List<Writer> writers = new ArrayList<>();
  private final Map<EndpointId, Double> slackMillisByEndpoint = new HashMap<>();

  private record Writer(List<PacePart> path, double slackMillis) {}

  /**
   * Creates a limit that knows no running stream.
   *
   * @param shortestTargetGapMillis shortest target gap of the routes to the service, which is that
   *     of the streams of other relays; 0 if no route has one
   */
  public PaceLimit(PaceModel model, double shortestTargetGapMillis) {
    this.model = model;
    this.shortestTargetGapMillis = shortestTargetGapMillis;
  }

  /**
   * Adds a running stream of this relay. It is protected from now on, unless it would miss its
   * target even if it were alone on its path.
   *
   * @param targetGapMillis target of its route; 0 if none, in which case nothing is protected
   */
  public void addWriter(List<PacePart> path, double targetGapMillis) {
    if (targetGapMillis <= 0) {
      return;
    }
    double slackMillis = allowed(targetGapMillis) - model.gapMillis(path);
    if (slackMillis < 0 && model.idleGapMillis(path) > allowed(targetGapMillis)) {
      return;
    }
    writers.add(new Writer(path, slackMillis));
    for (PacePart part : path) {
      slackMillisByEndpoint.merge(part.endpoint(), slackMillis, Math::min);
    }
  }

  /** Returns whether an endpoint alone, with all its layers, permits one more stream. */
  public boolean permits(PacePart endpoint, PaceDemand demand) {
    double slackMillis =
        slackMillisByEndpoint.getOrDefault(endpoint.endpoint(), Double.POSITIVE_INFINITY);
    return (slackMillis == Double.POSITIVE_INFINITY
            || model.addedDelay(endpoint, demand).totalMillis() <= slackMillis)
        && !slowsOtherRelays(endpoint, demand);
  }

  /**
   * Other relays do not tell the paths of their streams. These are taken to run on endpoints like
   * this one, unless such a path would miss the target even without load.
   */
  private boolean slowsOtherRelays(PacePart endpoint, PaceDemand demand) {
    if (shortestTargetGapMillis <= 0 || endpoint.othersRequests() < MIN_OTHERS_REQUESTS) {
      return false;
    }
    double allowedMillis = allowed(shortestTargetGapMillis);
    double requests = endpoint.load().requests() + demand.roomRequests();
    double tokens = endpoint.load().tokens() + demand.roomRequests() * demand.tokens();
    return model.uniformGapMillis(endpoint, requests, tokens) > allowedMillis
        && model.uniformGapMillis(endpoint, 1, demand.tokens()) <= allowedMillis;
  }

  /** Judges a path for a new stream. */
  public PaceVerdict judge(List<PacePart> path, PaceDemand demand) {
    Map<EndpointId, AddedDelay> added = new HashMap<>();
    double maxAddedMillis = 0;
    double readMillis = 0;
    double passMillis = 0;
    for (PacePart part : path) {
      AddedDelay delay = model.addedDelay(part, demand);
      added.put(part.endpoint(), delay);
      maxAddedMillis += delay.totalMillis();
      readMillis += model.readMillis(part, demand);
      passMillis += model.partMillis(part);
    }
    Set<EndpointId> contested = contested(added, maxAddedMillis);
    double firstEventMillis = readMillis + passMillis;
    boolean gapInTime =
        demand.targetGapMillis() <= 0 || passMillis <= allowed(demand.targetGapMillis());
    Grade grade = Grade.SLOWS_OTHERS;
    if (contested.isEmpty()) {
      boolean inTime = gapInTime && firstEventMillis <= demand.targetFirstEventMillis();
      grade =
          firstEventMillis > demand.maxFirstEventMillis()
              ? Grade.GIVEN_UP
              : inTime ? Grade.IN_TIME : Grade.LATE;
    }
    return new PaceVerdict(grade, passMillis, firstEventMillis, gapInTime, contested);
  }

  private Set<EndpointId> contested(Map<EndpointId, AddedDelay> added, double maxAddedMillis) {
    Set<EndpointId> contested = new HashSet<>();
    for (Writer writer : writers) {
      double delayMillis =
          writer.slackMillis() >= maxAddedMillis ? 0 : delayMillis(writer.path(), added);
      if (delayMillis > 0 && delayMillis > writer.slackMillis()) {
        writer.path().stream()
            .map(PacePart::endpoint)
            .filter(added::containsKey)
            .forEach(contested::add);
      }
    }
    return contested;
  }

  private static double delayMillis(List<PacePart> path, Map<EndpointId, AddedDelay> added) {
    double repeatedMillis = 0;
    double onceMillis = 0;
    for (PacePart part : path) {
      AddedDelay delay = added.get(part.endpoint());
      if (delay != null) {
        repeatedMillis += delay.repeatedMillis();
        onceMillis = Math.max(onceMillis, delay.onceMillis());
      }
    }
    return repeatedMillis + onceMillis;
  }

  private static double allowed(double targetGapMillis) {
    return (1 - HEADROOM_SHARE) * targetGapMillis;
  }
}
