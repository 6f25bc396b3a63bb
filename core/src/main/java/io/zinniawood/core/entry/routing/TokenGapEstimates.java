package io.zinniawood.core.entry.routing;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.zinniawood.core.id.DataCentreId;
import io.zinniawood.core.id.EndpointId;

/**
 * Time between tokens that sessions through an endpoint had lately. It shows slow engines and slow
 * links that do not fail.
 *
 * <p>A session gives one time for its whole chain, so the slow part of a chain is not known. The
 * time of an endpoint is therefore a minimum that rises slowly: one fast session through it proves
 * that the endpoint and the link to it are fast, and only an endpoint whose sessions are all slow
 * stays slow.
 *
 * @param gapNanosByLink time between tokens in nanoseconds
 */
public record TokenGapEstimates(Map<InboundLink, Double> gapNanosByLink) {
  /** No session has ended. */
  public static final TokenGapEstimates NONE = new TokenGapEstimates(HashMap.empty());

  /** Part of the way that a slower session moves the time of an endpoint. */
  private static final double SLOWER_SAMPLE_WEIGHT = 0.2;

  /** Slower endpoints within this factor are taken for equally fast, as batches vary. */
  private static final double EQUAL_SPEED_RATIO = 1.5;

  /** Even the slowest endpoint gets some sessions, which show when it has become fast again. */
  private static final double MIN_WEIGHT_FACTOR = 0.05;

  /** Returns these speeds after a session with the given mean time between tokens. */
  public TokenGapEstimates withSample(InboundLink step, double meanGapNanos) {
    double next =
        gapNanosByLink
            .get(step)
            .filter(known -> meanGapNanos > known)
            .map(known -> known + SLOWER_SAMPLE_WEIGHT * (meanGapNanos - known))
            .getOrElse(meanGapNanos);
    return new TokenGapEstimates(gapNanosByLink.put(step, next));
  }

  /** Returns these speeds without those of an endpoint that is gone or restarted. */
  public TokenGapEstimates withoutEndpoint(EndpointId endpoint) {
    Map<InboundLink, Double> others = gapNanosByLink.rejectKeys(step -> step.to().equals(endpoint));
    return others.size() == gapNanosByLink.size() ? this : new TokenGapEstimates(others);
  }

  /**
   * Returns the candidates with their weights lowered by their slowness relative to the fastest.
   * Candidates without a session keep their weight.
   *
   * @param from data centre from which the chosen stage gets its input
   * @param candidates equivalent endpoints
   */
  public Vector<Stage> adjustWeights(DataCentreId from, Vector<Stage> candidates) {
    double fastest =
        candidates
            .flatMap(stage -> gapNanosByLink.get(new InboundLink(from, stage.member().endpoint())))
            .min()
            .getOrElse(0.0);
    if (fastest <= 0) {
      return candidates;
    }
    return candidates.map(
        stage -> {
          double gap =
              gapNanosByLink.getOrElse(new InboundLink(from, stage.member().endpoint()), fastest);
          double factor =
              gap <= EQUAL_SPEED_RATIO * fastest ? 1 : Math.max(MIN_WEIGHT_FACTOR, fastest / gap);
          return new Stage(stage.member(), stage.layers(), stage.weight() * factor);
        });
  }

  /**
   * Way to an endpoint.
   *
   * @param from data centre of the stage before, or of the entry for the first stage
   * @param to the endpoint
   */
  public record InboundLink(DataCentreId from, EndpointId to) {}
}
